package org.alderyard.control.log;

import java.util.Optional;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.Membership;

/**
 * What a host knows of the log, as of its last step.
 *
 * @param term the term
 * @param elected whether this host was elected in the term
 * @param leading whether it also holds everything that was committed before
 * @param leader the host that is believed to lead
 * @param appliedIndex the last entry in the state machine
 * @param snapshotIndex the last entry in the newest snapshot
 * @param membership the replicas by the newest change
 */
public record LogStatus(
    long term,
    boolean elected,
    boolean leading,
    Optional<HostId> leader,
    long appliedIndex,
    long snapshotIndex,
    Membership membership) {
  /** The status before the log takes part in a cluster. */
  static final LogStatus NONE =
      new LogStatus(0, false, false, Optional.empty(), 0, 0, Membership.EMPTY);

  /** Returns whether requests for the leader find one: this host, or another one that is known. */
  boolean leaderKnown() {
    return leading || !elected && leader.isPresent();
  }

  /** Returns whether a leadership that was seen in the earlier status has ended. */
  boolean endsLeadershipOf(LogStatus earlier) {
    return earlier.elected && !(elected && term == earlier.term);
  }
}
