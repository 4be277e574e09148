package org.alderyard.control.grant;

import java.time.Duration;
import java.util.Objects;

/**
 * Options for dividing a server's connections among proxies.
 *
 * @param floor the connections allocated to each proxy before the rest is divided by demand
 * @param reserveShare the fraction of a replica's connections that is not granted, so that they are
 *     available immediately when the replica becomes the primary and all proxies connect to it
 * @param lease the lifetime of a grant
 * @param hardLimit whether hosts never hold more connections than granted; the sum of all grants
 *     then must not exceed the connections that a server accepts. If false, servers refuse excess
 *     connections themselves, and grants leave headroom for all hosts to reconnect
 */
public record GrantOptions(int floor, double reserveShare, Duration lease, boolean hardLimit) {
  /** Default options: grants are a hard limit. */
  public static final GrantOptions DEFAULT = new GrantOptions(2, 0.1, Duration.ofSeconds(5), true);

  /** Options for servers that refuse connections beyond their limit themselves. */
  public static final GrantOptions ADVISORY =
      new GrantOptions(1, 0.1, Duration.ofSeconds(5), false);

  /** Creates the options; {@code lease} must not be null. */
  public GrantOptions {
    Objects.requireNonNull(lease);
  }

  /** Returns how many of the {@code budget} connections of a server may be granted. */
  public int grantable(int budget, boolean primary) {
    return primary ? budget : budget - (int) Math.ceil(budget * reserveShare);
  }

  /**
   * Returns how long a new leader waits before it grants more connections than proxies already
   * hold.
   *
   * <p>A new leader does not have the grants of earlier leaders. The wait is the lease plus a
   * tenth, so these grants have expired even on a clock that runs a tenth slower. No wait is needed
   * if grants are not a hard limit.
   */
  public Duration quarantine() {
    return !hardLimit ? Duration.ZERO : lease.plus(lease.dividedBy(10));
  }
}
