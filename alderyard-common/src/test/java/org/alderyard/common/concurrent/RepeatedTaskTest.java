package org.alderyard.common.concurrent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when periodic tasks run. */
class RepeatedTaskTest {
  private final Deque<Duration> delays = new ArrayDeque<>();
  private final Deque<Runnable> timers = new ArrayDeque<>();
  private final List<Long> runsMillis = new ArrayList<>();
  private long nowMillis;

  private RepeatedTask start(long delayMillis, long durationMillis) {
    RepeatedTask task =
        new RepeatedTask(
            (delay, run) -> {
              delays.add(delay);
              timers.add(run);
            },
            () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
            0,
            Duration.ofMillis(delayMillis),
            () -> {
              runsMillis.add(nowMillis);
              nowMillis += durationMillis;
            });
    task.scheduleNext();
    return task;
  }

  private void runNext() {
    nowMillis += delays.remove().toMillis();
    timers.remove().run();
  }

  /** Answers the load of an idle host: tasks that start at different times share a wake-up. */
  @Test
  void tasksOfDifferentStartsCoincide() {
    nowMillis = 13;
    start(100, 2);
    runNext();
    runNext();
    runNext();

    assertThat(runsMillis).containsExactly(100L, 200L, 300L).inOrder();
  }

  /** Guards against a host that makes up for all missed runs after it was stopped. */
  @Test
  void missedRunsAreNotMadeUpFor() {
    start(100, 730);
    runNext();
    runNext();

    assertThat(runsMillis).containsExactly(100L, 900L).inOrder();
  }

  /** Guards against a task that runs on after the service that started it was closed. */
  @Test
  void cancelledTaskDoesNotRun() {
    RepeatedTask task = start(100, 0);
    task.cancel();
    runNext();

    assertThat(runsMillis).isEmpty();
    assertThat(timers).isEmpty();
  }
}
