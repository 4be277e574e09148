package org.alderyard.proxy.quota;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.OrganisationQuota;

/** Equal parts of rate and burst; the tolerance covers operations that begin uncounted. */
final class ZoneShares implements LimitShares {
  /** So many counters that the others grant while one fails. */
  private static final int MIN_COUNTERS = 3;

  /** Longest time that callers are told to wait. */
  private static final int MAX_RETRY_MILLIS = 2_000;

  /** Longer than a view lease, which is 3 s. */
  private static final long JOIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);

  private final QuotaTolerance tolerance;

  ZoneShares(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  @Override
  public boolean countsBeforeBegin() {
    return false;
  }

  @Override
  public int minCounters() {
    return MIN_COUNTERS;
  }

  @Override
  public int parts(OrganisationQuota quota, int listed) {
    return listed;
  }

  @Override
  public double ratePerSecond(OrganisationQuota quota, int parts) {
    return quota.ratePerSecond() / parts;
  }

  @Override
  public double capacity(OrganisationQuota quota, int parts) {
    // A bucket that holds less than one token would never grant any.
    return Math.max(1, quota.burst() / parts);
  }

  @Override
  public double initialTokens(OrganisationQuota quota, int parts) {
    return tolerance.initialOperations(quota) / parts;
  }

  @Override
  public boolean plentiful(double tokens, OrganisationQuota quota, int parts, int askingHosts) {
    // If each host begins one more, the bucket owes no more than the tolerance allows.
    double needed = askingHosts - tolerance.unaskedOperations(quota) / parts;
    return tokens >= Math.max(0, needed);
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
