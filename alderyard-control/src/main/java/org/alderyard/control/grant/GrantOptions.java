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
 * @param binding whether hosts never hold more than their grants, so that the sum of all grants
 *     must not exceed what a server accepts; where servers refuse what is too much, grants share
 *     what there is, and room is kept for a return of all hosts
 */
public record GrantOptions(int floor, double reserveShare, Duration lease, boolean binding) {
  /** What holds unless the settings say otherwise. */
  public static final GrantOptions DEFAULT = new GrantOptions(2, 0.1, Duration.ofSeconds(5), true);

  /** What holds before servers that refuse connections beyond their limit by themselves. */
  public static final GrantOptions ADVISORY =
      new GrantOptions(1, 0.1, Duration.ofSeconds(5), false);

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
   * that is slower by a tenth. Grants that do not bind need no such wait.
   */
  public Duration quarantine() {
    return !binding ? Duration.ZERO : lease.plus(lease.dividedBy(10));
  }
}
