package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which timers of a log start a tick. */
class TickTimerTest {
  private final List<Duration> delays = new ArrayList<>();
  private final List<Runnable> timers = new ArrayList<>();
  private long nowMillis = 1_000;
  private int ticks;
  private final TickTimer timer =
      new TickTimer(
          (delay, task) -> {
            delays.add(delay);
            timers.add(task);
          },
          () -> nowMillis,
          () -> ticks++);

  /** Guards against a heartbeat that is late because an election deadline was set before. */
  @Test
  void earlierDeadlineReplacesTimer() {
    timer.setNext(1_300);
    timer.setNext(1_050);

    assertThat(delays).containsExactly(Duration.ofMillis(300), Duration.ofMillis(50)).inOrder();
    timers.forEach(Runnable::run);
    assertThat(ticks).isEqualTo(1);
  }

  /** Guards against a timer for each message of a leader, which moves the deadline. */
  @Test
  void laterDeadlineKeepsTimer() {
    timer.setNext(1_300);
    timer.setNext(1_400);

    assertThat(delays).containsExactly(Duration.ofMillis(300));
  }

  /** Guards against a log that stops to tick after its first deadline, or after one in the past. */
  @Test
  void deadlineAfterTickGetsNewTimer() {
    timer.setNext(1_300);
    timer.clear();
    nowMillis = 1_500;
    timer.setNext(1_400);

    assertThat(delays).containsExactly(Duration.ofMillis(300), Duration.ZERO).inOrder();
  }
}
