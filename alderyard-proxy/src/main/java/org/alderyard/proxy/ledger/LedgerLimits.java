package org.alderyard.proxy.ledger;

import java.time.Duration;

/**
 * What the ledger of a proxy keeps, and for how long.
 *
 * @param retention how long after its first sending a request can be sent again; later it is
 *     refused
 * @param clockSkew how far the clocks of callers and proxies may be apart
 * @param viewLease how long a proxy may act on a view after it was replaced
 * @param maxRequests the most requests that are kept; past them new ones are refused
 * @param maxResultBytes the most bytes of kept results; past them new requests are refused
 */
public record LedgerLimits(
    Duration retention,
    Duration clockSkew,
    Duration viewLease,
    int maxRequests,
    long maxResultBytes) {

  /** The limits that hold unless another set is given. */
  public static final LedgerLimits DEFAULT =
      new LedgerLimits(
          Duration.ofMinutes(10),
          Duration.ofMillis(500),
          Duration.ofSeconds(3),
          200_000,
          64L * 1024 * 1024);

  /**
   * Returns how long after a change of owner a request may still be one that the old owner ran.
   *
   * <p>The old owner acts on its view for one lease. A change that is taken back may stay unseen
   * for one lease more by a proxy that never lost its own. A clock is ahead by the skew at both
   * ends.
   */
  Duration ownerChangeFence() {
    return viewLease.multipliedBy(2).plus(clockSkew.multipliedBy(2));
  }
}
