package org.alderyard.proxy.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.alderyard.common.view.OrganisationQuota;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a counter has granted to each organisation.
 *
 * <p>A counter that starts, or takes over from another one, doesn't know what was granted before.
 * It begins with few tokens, and with those that have accrued since its process started, if it was
 * the counter before.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of this object is held.
 */
final class QuotaLedger {
  private static final Logger log = LoggerFactory.getLogger(QuotaLedger.class);

  /**
   * The longest time for which a token is reserved. It limits what a successor, which doesn't know
   * of reservations, can grant twice.
   */
  static final int MAX_RESERVE_MILLIS = 250;

  private final LimitShares shares;
  private final long windowNanos;
  // Guarded by this.
  private final Map<String, Account> accounts = new HashMap<>();

  private static final class Account {
    final TokenBucket bucket;
    final RecentCount counted;
    OrganisationQuota quota;
    int parts;

    Account(TokenBucket bucket, RecentCount counted, OrganisationQuota quota, int parts) {
      this.bucket = bucket;
      this.counted = counted;
      this.quota = quota;
      this.parts = parts;
    }
  }

  /**
   * Result of a request.
   *
   * @param operations the granted operations
   * @param retryAfterMillis when the next operation can be granted, if none was
   * @param plentiful whether each asking host may begin one operation before it asks
   * @param beginsInMillis when the operations may begin; not 0 only for a reserved token
   */
  record Grant(int operations, int retryAfterMillis, boolean plentiful, int beginsInMillis) {
    Grant(int operations, int retryAfterMillis, boolean plentiful) {
      this(operations, retryAfterMillis, plentiful, 0);
    }
  }

  QuotaLedger(QuotaTolerance tolerance, LimitShares shares) {
    this.shares = shares;
    windowNanos = (long) (tolerance.windowSeconds() * TimeUnit.SECONDS.toNanos(1));
  }

  /**
   * Reserves the next token, if it comes within the given time. Operations that wait for tokens
   * therefore begin in the order of their reservations, and none overtakes them.
   *
   * @return empty if the organisation is not known here, or its next token comes later
   */
  synchronized Optional<Grant> reserve(String organisation, int withinMillis, long nowNanos) {
    Account account = accounts.get(organisation);
    if (account == null) {
      return Optional.empty();
    }
    int beginsInMillis = account.bucket.millisUntilToken(shares.maxRetryMillis());
    if (beginsInMillis > Math.min(withinMillis, MAX_RESERVE_MILLIS)) {
      return Optional.empty();
    }
    account.bucket.takeUsed(1, nowNanos);
    account.counted.add(1, nowNanos);
    return Optional.of(new Grant(1, 0, false, beginsInMillis));
  }

  /**
   * Grants up to the wanted number of operations.
   *
   * @param parts the number of counters that share the limit
   * @param askingHosts the number of hosts that ask this counter first
   * @param begun operations that the asking host has begun already
   * @param sinceNanos since when no other process can have granted this counter's part
   */
  synchronized Grant take(
      String organisation,
      OrganisationQuota quota,
      int parts,
      int askingHosts,
      int wanted,
      int begun,
      long sinceNanos,
      long nowNanos) {
    double rate = shares.ratePerSecond(quota, parts);
    double capacity = shares.capacity(quota, parts);
    Account account = accounts.get(organisation);
    if (account == null) {
      double initial = shares.initialTokens(quota, parts);
      account =
          new Account(
              new TokenBucket(rate, capacity, initial, sinceNanos),
              new RecentCount(windowNanos),
              quota,
              parts);
      accounts.put(organisation, account);
    } else if (!account.quota.equals(quota) || account.parts != parts) {
      account.bucket.setLimit(rate, capacity, nowNanos);
      account.quota = quota;
      account.parts = parts;
    }
    account.bucket.takeUsed(begun, nowNanos);
    int granted = account.bucket.take(wanted, nowNanos);
    account.counted.add(begun + granted, nowNanos);
    if (wanted > 0 && granted == 0) {
      logExhausted(organisation, account, nowNanos);
    }
    return new Grant(
        granted,
        granted > 0 ? 0 : account.bucket.millisUntilToken(shares.maxRetryMillis()),
        shares.plentiful(account.bucket.tokens(), quota, parts, askingHosts));
  }

  private void logExhausted(String organisation, Account account, long nowNanos) {
    log.info(
        "event=quota-exhausted organisation={} rate-per-second={} burst={} parts={} tokens={}"
            + " counted-in-window={}",
        organisation,
        account.quota.ratePerSecond(),
        account.quota.burst(),
        account.parts,
        Math.round(account.bucket.tokens() * 100) / 100.0,
        account.counted.sum(nowNanos));
  }

  /** Forgets an organisation that this host no longer counts. */
  synchronized void forget(String organisation) {
    accounts.remove(organisation);
  }

  /** Forgets the organisations that this host does not count. */
  synchronized void retain(Predicate<String> counted) {
    accounts.keySet().removeIf(counted.negate());
  }
}
