package org.alderyard.proxy.limit;

import java.util.concurrent.TimeUnit;

/**
 * Spreads the times at which the refused callers of a server return, at the rate at which the
 * server can serve them and in the order of their refusals.
 *
 * <p>Callers that are refused at one moment and given the same delay return together. All but a few
 * are refused again, and each refusal takes about as much processor time as a statement. Not
 * thread-safe.
 */
final class ReturnSchedule {
  private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** The interval between two returns while the service time of the server is unknown. */
  private static final long DEFAULT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  /** The maximum time until the last place; callers without a place share the earlier ones. */
  private static final long MAX_AHEAD_NANOS = TimeUnit.SECONDS.toNanos(10);

  private long nextPlaceNanos;
  private boolean used;

  /**
   * Reserves the next place and returns the delay until then, in milliseconds.
   *
   * <p>A caller returns within half of its remaining time, since the service time of a server that
   * has just started falls by the second and later places would leave it idle.
   *
   * @param drainNanos the time in which the statements that are queued now are served
   * @param intervalNanos the mean time between the ends of two statements; 0 if unknown
   * @param remainingNanos the time until the caller's deadline
   */
  long nextDelayMillis(long nowNanos, long drainNanos, long intervalNanos, long remainingNanos) {
    long firstNanos = nowNanos + Math.max(MIN_DELAY_NANOS, drainNanos);
    if (!used || nextPlaceNanos - firstNanos < 0) {
      nextPlaceNanos = firstNanos;
      used = true;
    }
    long aheadNanos = Math.min(nextPlaceNanos - firstNanos, MAX_AHEAD_NANOS);
    nextPlaceNanos =
        firstNanos + aheadNanos + (intervalNanos > 0 ? intervalNanos : DEFAULT_INTERVAL_NANOS);
    long latestNanos = nowNanos + remainingNanos / 2;
    long spanNanos = Math.max(1, latestNanos - firstNanos);
    return TimeUnit.NANOSECONDS.toMillis(firstNanos + aheadNanos % spanNanos - nowNanos);
  }
}
