package org.alderyard.control.grant;

import java.time.Duration;
import java.util.Objects;

/**
 * How connections are shared.
 *
 * @param floor the connections that each proxy gets before demand counts
 * @param reserveShare the share of a replica's connections that is kept back: it is there at once
 *     when the replica becomes the primary and all proxies turn to it
 * @param lease how long a grant holds
 */
public record GrantOptions(int floor, double reserveShare, Duration lease) {
  /** What holds unless the settings say otherwise. */
  public static final GrantOptions DEFAULT = new GrantOptions(2, 0.1, Duration.ofSeconds(5));

  /** Checks. */
  public GrantOptions {
    Objects.requireNonNull(lease);
  }

  /** Returns how many of a server's connections may be granted. */
  public int grantable(int budget, boolean primary) {
    return primary ? budget : budget - (int) Math.ceil(budget * reserveShare);
  }

  /**
   * Returns how long a new leader waits before it grants more than proxies hold already.
   *
   * <p>An earlier leader's grants may be unknown to it; they have ended by then, also by a clock
   * that is slower by a tenth.
   */
  public Duration quarantine() {
    return lease.plus(lease.dividedBy(10));
  }
}
