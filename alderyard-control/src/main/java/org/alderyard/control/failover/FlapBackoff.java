package org.alderyard.control.failover;

import java.util.List;

/**
 * Spaces the failovers of one group.
 *
 * <p>A primary that fails again and again, or watchers that see it so, would replace primaries
 * without end, and each replacement stops writes. The first failover within the window starts at
 * once; each further one waits twice as long after the one before.
 */
public final class FlapBackoff {
  private final DirectorOptions options;

  /** Creates a back-off with the given times. */
  public FlapBackoff(DirectorOptions options) {
    this.options = options;
  }

  /**
   * Returns how long the next grant must wait, 0 if it may start now.
   *
   * @param grantedAtMillis the wall times of the last grants, oldest first; from the control log,
   *     so that a new control leader counts the same
   * @param nowWallMillis the wall time; hosts differ by little beside the window
   */
  public long waitMillis(List<Long> grantedAtMillis, long nowWallMillis) {
    long recent =
        grantedAtMillis.stream()
            .filter(granted -> nowWallMillis - granted < options.flapWindowMillis())
            .count();
    if (recent < 2) {
      return 0;
    }
    long last = grantedAtMillis.get(grantedAtMillis.size() - 1);
    int doublings = (int) Math.min(recent - 2, FailoverRecord.REMEMBERED_GRANTS);
    long pauseMillis = Math.min(options.flapMaxMillis(), options.flapBaseMillis() << doublings);
    // A wall clock that was set back must not stretch the wait past its bound.
    return Math.min(pauseMillis, Math.max(0, last + pauseMillis - nowWallMillis));
  }
}
