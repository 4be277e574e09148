package org.alderyard.proxy.quota;

import java.util.concurrent.TimeUnit;

/**
 * Spreads the times at which the refused callers of one organisation come back.
 *
 * <p>The times lie between the next token and the time in which the limit grants as many operations
 * as this host has refused of late, so that callers do not return together. Thread-safe; guarded by
 * the object's own lock.
 */
final class TokenRetrySpread {
  /** Refusals of this time and of the one before determine the spread. */
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The shortest time limit of callers is little longer; those told more would not come back. */
  private static final int MAX_SPREAD_MILLIS = 1_000;

  /** Multiples of the golden ratio, less their whole part, cover an interval evenly. */
  private static final double GOLDEN_RATIO = 0.6180339887498949;

  private long periodStartNanos;
  private int refused;
  private int refusedBefore;
  private double position;

  /**
   * Returns when the next refused caller may come back, in milliseconds.
   *
   * @param untilTokenMillis when the next token is available
   */
  synchronized int next(int untilTokenMillis, double ratePerSecond, long nowNanos) {
    long periods = (nowNanos - periodStartNanos) / PERIOD_NANOS;
    if (periods > 0) {
      refusedBefore = periods == 1 ? refused : 0;
      refused = 0;
      periodStartNanos += periods * PERIOD_NANOS;
    }
    refused++;
    position = (position + GOLDEN_RATIO) % 1;
    double grantMillis = 1_000 * Math.max(refused, refusedBefore) / Math.max(1e-3, ratePerSecond);
    return untilTokenMillis + (int) (position * Math.min(MAX_SPREAD_MILLIS, grantMillis));
  }
}
