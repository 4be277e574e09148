package org.alderyard.common.concurrent;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.time.MonotonicClock;

/**
 * A task that runs periodically until it is cancelled.
 *
 * <p>Runs start at whole multiples of a slot after a common origin. Tasks of one origin whose
 * delays have a common multiple then run after the same wake-up of a thread. The delay from the end
 * of a run to the next start is shorter than the nominal delay by less than one slot, and runs that
 * were missed are not made up for. Thread-safe.
 */
public final class RepeatedTask {
  /** Divides the usual delays of 50 ms to 1 s, so that their runs coincide. */
  private static final long MAX_SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Timer timer;
  private final MonotonicClock clock;
  private final long originNanos;
  private final long delayNanos;
  private final Runnable task;
  private volatile boolean cancelled;

  RepeatedTask(Timer timer, MonotonicClock clock, long originNanos, Duration delay, Runnable task) {
    this.timer = timer;
    this.clock = clock;
    this.originNanos = originNanos;
    this.delayNanos = delay.toNanos();
    this.task = task;
  }

  void scheduleNext() {
    timer.schedule(Duration.ofNanos(nanosUntilNext(clock.nowNanos())), this::run);
  }

  private void run() {
    if (cancelled) {
      return;
    }
    try {
      task.run();
    } finally {
      if (!cancelled) {
        scheduleNext();
      }
    }
  }

  private long nanosUntilNext(long nowNanos) {
    long slotNanos = Math.max(1, Math.min(delayNanos, MAX_SLOT_NANOS));
    long dueNanos = nowNanos - originNanos + delayNanos;
    return delayNanos - dueNanos % slotNanos;
  }

  /** Prevents further runs; a run that has started ends normally. */
  public void cancel() {
    cancelled = true;
  }
}
