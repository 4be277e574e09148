package org.alderyard.control.log;

import org.alderyard.common.error.AlderyardException;

/**
 * Receives leadership changes and failures of the log of this host. Calls are made one at a time
 * and must not block.
 */
public interface LogListener {

  /**
   * Called when this host becomes the leader or loses leadership.
   *
   * @param term the term of the log
   * @param isLeader true once the host is the leader and has applied all earlier committed commands
   */
  default void onLeadershipChange(long term, boolean isLeader) {}

  /** Called when the log has stopped permanently, as after a failed sync; the process must exit. */
  default void onFailure(AlderyardException failure) {}
}
