package org.alderyard.proxy.limit;

import java.util.concurrent.TimeUnit;

/**
 * Limits the statements that a host runs at a time while its processor is saturated.
 *
 * <p>A host that has just started runs cold code. If it takes on all callers that waited for it,
 * each statement is late, and the callers that come later wait behind them. The host is saturated
 * when a periodic task runs late several times in a row; a single delay is a pause of the process.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of this object is held.
 */
public final class SaturationLimiter {
  /** Interval of the periodic task. */
  public static final long TICK_MILLIS = 25;

  /** Delay of the periodic task from which the processor counts as saturated. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private static final int LATE_TICKS = 2;

  /** Limit of a host that has just started: the concurrent statements of a few callers. */
  private static final double INITIAL_LIMIT = 8;

  private static final double MIN_LIMIT = 3;

  /** Practically no limit. */
  private static final double MAX_LIMIT = 10_000;

  private static final double DECREASE_FACTOR = 0.7;
  private static final double INCREASE_FACTOR = 1.1;

  // Guarded by this.
  private double limit = INITIAL_LIMIT;
  private int running;
  private int lateTicks;
  private long lastTickNanos;
  private boolean ticked;

  /** Records a run of the periodic task. */
  public synchronized void tick(long nowNanos) {
    long lateNanos = nowNanos - lastTickNanos - TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
    boolean late = ticked && lateNanos > LATE_NANOS;
    ticked = true;
    lastTickNanos = nowNanos;
    lateTicks = late ? lateTicks + 1 : 0;
    if (lateTicks >= LATE_TICKS) {
      limit = Math.max(MIN_LIMIT, Math.min(limit, running) * DECREASE_FACTOR);
    } else if (!late) {
      limit = Math.min(MAX_LIMIT, Math.max(limit + 1, limit * INCREASE_FACTOR));
    }
  }

  /** Returns whether another operation may begin; true before the first tick. */
  public synchronized boolean mayBegin() {
    return !ticked || running < limit;
  }

  /** Records that a statement begins. */
  public synchronized void begin() {
    running++;
  }

  /** Records that a statement has ended. */
  public synchronized void end() {
    running--;
  }

  /** Returns the current limit, for metrics. */
  public synchronized double limit() {
    return limit;
  }
}
