package org.alderyard.control.failover;

import java.util.List;

/**
 * Limits how often the primary of one group is replaced.
 *
 * <p>Each failover stops writes. If a primary fails repeatedly, or watchers wrongly report so, the
 * group would be in failover all the time. The first failover within the flap window starts
 * immediately; each further failover waits twice as long as the one before.
 */
public final class FlapBackoff {
  private final DirectorOptions options;

  /** Creates a backoff with the given window and delays. */
  public FlapBackoff(DirectorOptions options) {
    this.options = options;
  }

  /**
   * Returns the time until the next grant is allowed, 0 if it is allowed now.
   *
   * @param grantedAtMillis the wall-clock times of the last grants, oldest first, from the control
   *     log, so that a new control leader computes the same delay
   * @param nowWallMillis the wall-clock time; clock differences between hosts are small compared
   *     with the window
   */
  public long waitMillis(List<Long> grantedAtMillis, long nowWallMillis) {
    long recentGrants =
        grantedAtMillis.stream()
            .filter(grantMillis -> nowWallMillis - grantMillis < options.flapWindowMillis())
            .count();
    if (recentGrants < 2) {
      return 0;
    }
    long lastGrantMillis = grantedAtMillis.get(grantedAtMillis.size() - 1);
    int doublings = (int) Math.min(recentGrants - 2, FailoverRecord.MAX_GRANT_TIMES);
    long delayMillis = Math.min(options.flapMaxMillis(), options.flapBaseMillis() << doublings);
    // A wall clock that was set back must not extend the wait beyond the delay.
    return Math.min(delayMillis, Math.max(0, lastGrantMillis + delayMillis - nowWallMillis));
  }
}
