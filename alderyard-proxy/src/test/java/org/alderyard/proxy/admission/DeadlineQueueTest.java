package org.alderyard.proxy.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeadlineQueueTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SERVICE = 20 * MILLI;

  private final DeadlineQueue<String> queue = new DeadlineQueue<>();

  private static AdmissionRequest request(
      long arrivedMillis, int timeoutMillis, int objectiveMillis, int priority) {
    return AdmissionRequest.of(
        (arrivedMillis + timeoutMillis) * MILLI, timeoutMillis, objectiveMillis, priority, false);
  }

  private List<String> pollAll(long nowMillis, boolean freshestFirst) {
    List<String> order = new ArrayList<>();
    while (queue.size() > 0) {
      DeadlineQueue.Turn<String> turn = queue.poll(nowMillis * MILLI, SERVICE, freshestFirst);
      turn.expired().forEach(value -> order.add("expired " + value));
      turn.next().ifPresent(order::add);
    }
    return order;
  }

  @Test
  void leastSlackIsFirstAndLateStatementsFollowByDeadline() {
    queue.add(request(0, 3_000, 100, 0), "late, far deadline");
    queue.add(request(0, 1_000, 100, 0), "late, near deadline");
    queue.add(request(0, 1_000, 900, 0), "in time, much slack");
    queue.add(request(0, 1_000, 400, 0), "in time, little slack");

    assertThat(pollAll(200, false))
        .containsExactly(
            "in time, little slack",
            "in time, much slack",
            "late, near deadline",
            "late, far deadline")
        .inOrder();
  }

  @Test
  void lowerPriorityIsServedLaterAtTheSameSlack() {
    queue.add(request(0, 1_000, 400, 2), "low");
    queue.add(request(50, 1_000, 400, 0), "high");

    assertThat(pollAll(60, false)).containsExactly("high", "low").inOrder();
  }

  /** Guards against statements that keep a slot from others after they can't be served any more. */
  @Test
  void statementsThatCannotBeServedLeaveAtTheNextTurn() {
    queue.add(request(0, 500, 100, 0), "old");
    queue.add(request(400, 500, 300, 0), "new");

    assertThat(pollAll(490, false)).containsExactly("expired old", "new").inOrder();
  }

  /** Load: a host starts with a backlog. The newest that meets its objective runs first. */
  @Test
  void freshestStatementIsFirstWhileHostStarts() {
    queue.add(request(0, 2_000, 100, 0), "late, old");
    queue.add(request(500, 2_000, 400, 0), "in time, older");
    queue.add(request(560, 2_000, 400, 0), "in time, newest");
    queue.add(request(570, 2_000, 10, 0), "late, newest");

    assertThat(pollAll(600, true))
        .containsExactly("in time, newest", "in time, older", "late, newest", "late, old")
        .inOrder();
  }

  /**
   * Load: statements with less slack, or newer ones, arrive for good at the rate of the turns.
   * Guards against a low priority, a database or an organisation that waits without bound.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noStatementWaitsLongerThanTheTurnsOfThoseBeforeIt(boolean freshestFirst) {
    int older = 5;
    for (int i = 0; i < older; i++) {
      queue.add(request(i, 1_000_000, 500_000, 3), "low " + i);
    }
    List<String> served = new ArrayList<>();
    for (int turn = 1; turn <= (older + 1) * DeadlineQueue.OLDEST_TURN; turn++) {
      queue.add(request(10 + turn, 1_000, 400, 0), "high");
      queue.poll((10 + turn) * MILLI, SERVICE, freshestFirst).next().ifPresent(served::add);
    }

    assertThat(served.stream().filter(value -> value.startsWith("low")).toList())
        .containsExactly("low 0", "low 1", "low 2", "low 3", "low 4")
        .inOrder();
  }

  /** Guards against entries that stay in one of the orders after they have left another. */
  @Test
  void randomChangesKeepRanksAndSizes() {
    Random random = new Random(11);
    List<DeadlineQueue.Entry<String>> entries = new ArrayList<>();
    for (int step = 0; step < 5_000; step++) {
      long nowMillis = step / 10;
      if (random.nextInt(3) > 0) {
        int objective = 50 + random.nextInt(300);
        entries.add(queue.add(request(nowMillis, 400, objective, random.nextInt(3)), "s" + step));
      } else if (random.nextBoolean() && !entries.isEmpty()) {
        DeadlineQueue.Entry<String> entry = entries.remove(random.nextInt(entries.size()));
        int before = queue.size();
        assertThat(queue.remove(entry)).isEqualTo(queue.size() == before - 1);
        assertThat(queue.remove(entry)).isFalse();
      } else {
        int before = queue.size();
        DeadlineQueue.Turn<String> turn =
            queue.poll(nowMillis * MILLI, SERVICE, random.nextBoolean());
        int left = turn.expired().size() + (turn.next().isPresent() ? 1 : 0);
        assertThat(queue.size()).isEqualTo(before - left);
      }
      AdmissionRequest next = request(nowMillis, 400, 200, 1);
      assertThat(queue.countBefore(next, nowMillis * MILLI, SERVICE)).isAtMost(queue.size());
    }
  }
}
