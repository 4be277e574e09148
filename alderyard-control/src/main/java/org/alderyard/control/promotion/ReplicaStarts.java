package org.alderyard.control.promotion;

import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;

/**
 * What is known of the starts of replicas. A replica that starts again may have lost its log, and
 * does not say so when it reports its position.
 */
public interface ReplicaStarts {

  /**
   * Returns whether a server started again since it may have acknowledged commits, and is not known
   * to hold the log of its primary.
   */
  boolean mayLackCommits(ServerId server);

  /**
   * Returns whether the server has announced this incarnation after the given time, so that it had
   * not started again by then.
   *
   * @param millis a time of the monotonic clock
   */
  boolean isAnnouncedSince(ServerState server, long millis);
}
