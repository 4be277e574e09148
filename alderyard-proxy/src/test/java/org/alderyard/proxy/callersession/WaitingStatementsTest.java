package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.alderyard.proxy.callersession.WaitingStatements.Need;
import org.junit.jupiter.api.Test;

class WaitingStatementsTest {
  private final WaitingStatements waiting = new WaitingStatements();
  private final List<String> notified = new ArrayList<>();

  private WaitingStatements.QueuedStatement add(
      String name, Need need, int priority, long deadlineNanos) {
    return waiting.add(need, priority, deadlineNanos, () -> notified.add(name));
  }

  @Test
  void statementsAreOrderedByPriorityThenDeadline() {
    add("late", Need.LEAD, 1, 300);
    add("soon", Need.LEAD, 1, 100);
    add("important", Need.LEAD, 0, 900);

    waiting.notifyFirst(Need.LEAD, 3);

    assertThat(notified).containsExactly("important", "soon", "late").inOrder();
  }

  @Test
  void atMostMaxCountStatementsAreNotified() {
    add("a", Need.READ, 1, 100);
    add("b", Need.READ, 1, 200);

    waiting.notifyFirst(Need.READ, 1);

    assertThat(notified).containsExactly("a");
    assertThat(waiting.size(Need.READ)).isEqualTo(1);
  }

  @Test
  void onlyStatementsWithTheGivenNeedAreNotified() {
    add("write", Need.LEAD, 1, 100);

    waiting.notifyFirst(Need.READ, 5);

    assertThat(notified).isEmpty();
  }

  @Test
  void statementsWithEqualPriorityAndDeadlineAreBothQueued() {
    add("a", Need.LEAD, 1, 100);
    add("b", Need.LEAD, 1, 100);

    waiting.notifyFirst(Need.LEAD, 2);

    assertThat(notified).containsExactly("a", "b").inOrder();
  }

  @Test
  void removedStatementIsNotNotified() {
    WaitingStatements.QueuedStatement queued = add("a", Need.LEAD, 1, 100);

    assertThat(waiting.remove(queued)).isTrue();
    waiting.notifyFirst(Need.LEAD, 1);

    assertThat(notified).isEmpty();
    assertThat(waiting.remove(queued)).isFalse();
  }
}
