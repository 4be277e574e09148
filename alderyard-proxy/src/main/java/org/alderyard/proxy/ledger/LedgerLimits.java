package org.alderyard.proxy.ledger;

import java.time.Duration;

/**
 * The limits of the ledger of a proxy.
 *
 * @param retention how long after it was first sent a request may be resent; later it is rejected
 * @param clockSkew the maximum difference between the clocks of callers and proxies
 * @param viewLease how long a proxy may use a view after the view was replaced
 * @param maxRequests the maximum number of requests kept; beyond it, new requests are rejected
 * @param maxResultBytes the maximum size of the kept results; beyond it, new requests are rejected
 */
public record LedgerLimits(
    Duration retention,
    Duration clockSkew,
    Duration viewLease,
    int maxRequests,
    long maxResultBytes) {

  /** The default limits. */
  public static final LedgerLimits DEFAULT =
      new LedgerLimits(
          Duration.ofMinutes(10),
          Duration.ofMillis(500),
          Duration.ofSeconds(3),
          200_000,
          64L * 1024 * 1024);

  /**
   * Returns how long after a change of owner a request may still have run at the previous owner.
   *
   * <p>The previous owner uses its view for up to one lease. A proxy whose own lease never expired
   * may miss a change that is reverted within one more lease. The clocks at both ends may be ahead
   * by the skew.
   */
  Duration ownerChangeFence() {
    return viewLease.multipliedBy(2).plus(clockSkew.multipliedBy(2));
  }
}
