package org.alderyard.proxy.quota;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.OrganisationQuota;

/**
 * Shares of a limit whose rate and capacity include the tolerance. Every operation is counted
 * before it begins.
 *
 * <p>Let C be the sum of the capacities and R that of the rates. The operations of a window were
 * granted in it or in the hold time before it, so that they are at most C + R x (window + hold).
 * Rate and burst leave a room within (rate x window + burst) x (1 + overrun) + slack, which is
 * divided between R and C.
 */
final class DemandShares implements LimitShares {
  /** Enough counters that the others cover most of the demand while one is replaced. */
  private static final int MIN_COUNTERS = 6;

  /** The fraction of the room that raises the rate; the rest raises the burst. */
  private static final double RATE_FRACTION = 0.5;

  /** A counter with fewer tokens would often hold a fraction of a token that no one can use. */
  private static final double MIN_CAPACITY = 1.2;

  /** The fraction of its capacity below which a counter is asked after others that have more. */
  private static final double LOW_FRACTION = 0.5;

  /** Longest retry time that callers are told; longer than the time limit of any caller. */
  private static final int MAX_RETRY_MILLIS = 30_000;

  /** View lease of 3 s, and the longest unnoticed gap between two confirmations. */
  private static final long JOIN_DELAY_NANOS =
      TimeUnit.SECONDS.toNanos(3) + ConfirmationGap.MAX_NANOS;

  private static final double HOLD_SECONDS =
      HeldOperations.HOLD_NANOS / (double) TimeUnit.SECONDS.toNanos(1);

  private final QuotaTolerance tolerance;

  DemandShares(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /** Returns the time in which the operations of one window may have been granted. */
  private double grantSeconds() {
    return tolerance.windowSeconds() + HOLD_SECONDS;
  }

  /** Returns the operations beyond rate and burst that counters may grant for one window. */
  private double room(OrganisationQuota quota) {
    return Math.max(0, tolerance.operations(quota) - quota.ratePerSecond() * HOLD_SECONDS);
  }

  private double totalCapacity(OrganisationQuota quota) {
    return quota.burst() + (1 - RATE_FRACTION) * room(quota);
  }

  @Override
  public boolean countsBeforeBegin() {
    return true;
  }

  @Override
  public int minCounters() {
    return MIN_COUNTERS;
  }

  @Override
  public int parts(OrganisationQuota quota, int listed) {
    return totalCapacity(quota) < MIN_CAPACITY * listed ? Math.min(1, listed) : listed;
  }

  @Override
  public double ratePerSecond(OrganisationQuota quota, int parts) {
    return (quota.ratePerSecond() + RATE_FRACTION * room(quota) / grantSeconds()) / parts;
  }

  @Override
  public double capacity(OrganisationQuota quota, int parts) {
    return Math.max(1, totalCapacity(quota) / parts);
  }

  @Override
  public double initialTokens(OrganisationQuota quota, int parts) {
    return 0;
  }

  @Override
  public boolean plentiful(double tokens, OrganisationQuota quota, int parts, int askingHosts) {
    return tokens >= LOW_FRACTION * capacity(quota, parts);
  }

  @Override
  public int maxRetryMillis() {
    return MAX_RETRY_MILLIS;
  }

  @Override
  public long joinDelayNanos() {
    return JOIN_DELAY_NANOS;
  }
}
