package org.alderyard.proxy.quota;

import java.util.HashMap;
import java.util.Map;
import org.alderyard.common.view.OrganisationQuota;

/**
 * What a counter has granted to each organisation.
 *
 * <p>A counter that starts, or takes over from another one, doesn't know what was granted before.
 * It begins with fewer tokens than the burst, so that its grants and the earlier ones together stay
 * within the tolerance.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of this object is held.
 */
final class QuotaLedger {
  /** Longest time that callers are told to wait. */
  static final int MAX_RETRY_MILLIS = 2_000;

  /** Fraction of the tolerance that unknown earlier grants may use. */
  private static final double INITIAL_TOLERANCE_FRACTION = 0.5;

  private final QuotaTolerance tolerance;
  // Guarded by this.
  private final Map<String, Account> accounts = new HashMap<>();

  private static final class Account {
    final TokenBucket bucket;
    OrganisationQuota quota;
    int parts;

    Account(TokenBucket bucket, OrganisationQuota quota, int parts) {
      this.bucket = bucket;
      this.quota = quota;
      this.parts = parts;
    }
  }

  /**
   * Result of a request.
   *
   * @param operations the granted operations
   * @param retryAfterMillis when the next operation can be granted, if none was
   */
  record Grant(int operations, int retryAfterMillis) {}

  QuotaLedger(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /**
   * Grants up to the wanted number of operations.
   *
   * @param parts the number of counters that share the limit
   */
  synchronized Grant take(
      String organisation, OrganisationQuota quota, int parts, int wanted, long nowNanos) {
    double rate = quota.ratePerSecond() / parts;
    // A bucket that holds less than one token would never grant any.
    double capacity = Math.max(1, quota.burst() / parts);
    Account account = accounts.get(organisation);
    if (account == null) {
      double initial =
          Math.max(0, tolerance.operations(quota) * INITIAL_TOLERANCE_FRACTION / parts);
      account = new Account(new TokenBucket(rate, capacity, initial, nowNanos), quota, parts);
      accounts.put(organisation, account);
    } else if (!account.quota.equals(quota) || account.parts != parts) {
      account.bucket.setLimit(rate, capacity, nowNanos);
      account.quota = quota;
      account.parts = parts;
    }
    int granted = account.bucket.take(wanted, nowNanos);
    return new Grant(granted, granted > 0 ? 0 : account.bucket.millisUntilToken(MAX_RETRY_MILLIS));
  }

  /** Forgets an organisation that this host no longer counts. */
  synchronized void forget(String organisation) {
    accounts.remove(organisation);
  }
}
