package org.alderyard.control.log;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.alderyard.common.concurrent.Timer;

/**
 * Starts a tick when a deadline of the log is due, instead of at a fixed interval, so that an idle
 * host does not wake a thread for ticks without work.
 *
 * <p>A deadline that moves to a later time keeps its earlier timer: the tick then finds nothing due
 * and the next deadline is set. A deadline that moves to an earlier time replaces the timer. Used
 * only on the serial loop, except that timers run on any thread.
 */
final class TickTimer {
  private static final long NONE = Long.MAX_VALUE;

  private final Timer timer;
  private final LongSupplier nowMillis;
  private final Runnable tick;
  private long scheduledMillis = NONE;
  // Number of the newest timer; the timers before it were replaced and do nothing.
  private volatile long newest;

  TickTimer(Timer timer, LongSupplier nowMillis, Runnable tick) {
    this.timer = timer;
    this.nowMillis = nowMillis;
    this.tick = tick;
  }

  /** Schedules a tick at the given time unless one is scheduled no later. */
  void setNext(long dueMillis) {
    if (dueMillis >= scheduledMillis) {
      return;
    }
    scheduledMillis = dueMillis;
    long number = newest + 1;
    newest = number;
    timer.schedule(
        Duration.ofMillis(Math.max(0, dueMillis - nowMillis.getAsLong())),
        () -> {
          if (number == newest) {
            tick.run();
          }
        });
  }

  /** Records that a tick runs, so that the next deadline gets a new timer. */
  void clear() {
    scheduledMillis = NONE;
  }
}
