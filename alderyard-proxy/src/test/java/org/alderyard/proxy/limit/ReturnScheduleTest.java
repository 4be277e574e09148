package org.alderyard.proxy.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.PoolName;
import org.junit.jupiter.api.Test;

/** Tests when the refused callers of a {@link ServerLimiter} are told to return. */
class ReturnScheduleTest {
  private static final int SLOTS = 5;
  private static final int QUEUE_CAPACITY = 64;
  private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final ServerLimiter<Integer> limiter =
      new ServerLimiter<>(new FixedLimit(SLOTS), QUEUE_CAPACITY);
  private final ReturnSchedule schedule = new ReturnSchedule();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private int served;
  private int refused;

  /** The arrival of a statement, or its end if {@code end} is set. */
  private record Event(long atNanos, int caller, boolean end) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return Long.compare(atNanos, other.atNanos);
    }
  }

  /** Guards against callers that are refused together, return together and are refused again. */
  @Test
  void callersRefusedTogetherAreNotRefusedAgainAndAgain() {
    int callers = 1_500;
    for (int caller = 0; caller < callers; caller++) {
      events.add(new Event(0, caller, false));
    }
    while (!events.isEmpty()) {
      process(events.poll());
    }
    // The server needs 3 s for all of them. Each caller halves its remaining time per refusal.
    assertThat(served).isAtLeast(callers * 9 / 10);
    assertThat(refused).isAtMost(3 * callers);
  }

  private void process(Event event) {
    AdmissionResult<Integer> result =
        event.end
            ? limiter.complete(false, SERVICE_NANOS, true, event.atNanos)
            : limiter.submit(statement(event.caller), event.atNanos);
    if (event.end) {
      served++;
    }
    for (QueuedStatement<Integer> started : result.started()) {
      events.add(new Event(event.atNanos + SERVICE_NANOS, started.work(), true));
    }
    for (AdmissionResult.Refused<Integer> refusal : result.refused()) {
      refused++;
      long returnNanos =
          event.atNanos + REFUSAL_NANOS + TimeUnit.MILLISECONDS.toNanos(refusal.retryAfterMillis());
      if (returnNanos < DEADLINE_NANOS) {
        events.add(new Event(returnNanos, refusal.statement().work(), false));
      }
    }
  }

  private static QueuedStatement<Integer> statement(int caller) {
    Flow flow = new Flow(new PoolName("listings"), "caller-" + caller);
    return new QueuedStatement<>(flow, false, DEADLINE_NANOS, caller);
  }

  /** Guards against reads beyond a primary's capacity that return together. */
  @Test
  void readsThatPrimaryHasNoCapacityForReturnOneAfterAnother() {
    long earliestNanos = TimeUnit.MILLISECONDS.toNanos(100);
    List<Long> delays = new ArrayList<>();
    limiter.submit(statement(0), 0);
    limiter.complete(false, SLOTS * SERVICE_NANOS, true, 0);
    for (int i = 0; i < 3; i++) {
      delays.add(limiter.reserveReturnMillis(earliestNanos, DEADLINE_NANOS, 0));
    }
    assertThat(delays).containsExactly(100L, 110L, 120L).inOrder();
  }

  /** Guards against returns that come faster than the server serves. */
  @Test
  void placesAreOneServiceIntervalApart() {
    List<Long> delays = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      delays.add(schedule.nextDelayMillis(0, 0, SERVICE_NANOS, DEADLINE_NANOS));
    }
    assertThat(delays).containsExactly(20L, 30L, 40L).inOrder();
  }

  /** Guards against callers that wait for a place after their deadline while a server is idle. */
  @Test
  void callerReturnsWithinHalfOfItsRemainingTime() {
    for (int i = 0; i < 10_000; i++) {
      long delayMillis = schedule.nextDelayMillis(0, 0, SERVICE_NANOS, DEADLINE_NANOS);
      assertThat(delayMillis).isAtLeast(20);
      assertThat(delayMillis).isAtMost(2_500);
    }
  }

  /** Guards against places of a past overload that delay a caller of an idle server. */
  @Test
  void pastPlacesDelayNobody() {
    for (int i = 0; i < 100; i++) {
      schedule.nextDelayMillis(0, 0, SERVICE_NANOS, DEADLINE_NANOS);
    }
    long laterNanos = TimeUnit.SECONDS.toNanos(2);
    assertThat(schedule.nextDelayMillis(laterNanos, 0, SERVICE_NANOS, DEADLINE_NANOS))
        .isEqualTo(20);
  }

  /** Guards against a delay that overflows or is negative for a caller with no time left. */
  @Test
  void callerWithoutTimeLeftIsToldTheFirstPlace() {
    assertThat(schedule.nextDelayMillis(0, 0, SERVICE_NANOS, -1)).isEqualTo(20);
  }
}
