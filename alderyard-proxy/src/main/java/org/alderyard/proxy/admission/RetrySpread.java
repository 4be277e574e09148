package org.alderyard.proxy.admission;

import java.util.concurrent.TimeUnit;

/**
 * Spreads the retry times of refused callers at the rate at which servers can serve them, so that
 * they do not return together. Reads no clock; not thread-safe.
 */
final class RetrySpread {
  /** A caller that returns sooner would meet the queue that it was refused for. */
  private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Interval between two returns while the service time is unknown. */
  private static final long DEFAULT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  /** The shortest span over which returns are spread. */
  private static final long MIN_SPAN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The longest delay; callers have a few seconds for an operation with all its retries. */
  private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);

  private long nextPlaceNanos = Long.MIN_VALUE;

  /**
   * Reserves the next return and returns its delay.
   *
   * @param retryAfterNanos the time after which statements are expected to be served again
   * @param spreadNanos the span over which returns are spread
   * @param intervalNanos the time between two statements that are served then; 0 if unknown
   */
  long nextDelayMillis(long nowNanos, long retryAfterNanos, long spreadNanos, long intervalNanos) {
    long delayNanos = Math.min(MAX_DELAY_NANOS, Math.max(MIN_DELAY_NANOS, retryAfterNanos));
    long firstNanos = nowNanos + delayNanos;
    long spanNanos = Math.max(MIN_SPAN_NANOS, spreadNanos);
    boolean continues = nextPlaceNanos != Long.MIN_VALUE && nextPlaceNanos - firstNanos > 0;
    long aheadNanos = continues ? (nextPlaceNanos - firstNanos) % spanNanos : 0;
    nextPlaceNanos =
        firstNanos + aheadNanos + (intervalNanos > 0 ? intervalNanos : DEFAULT_INTERVAL_NANOS);
    return TimeUnit.NANOSECONDS.toMillis(delayNanos + aheadNanos);
  }
}
