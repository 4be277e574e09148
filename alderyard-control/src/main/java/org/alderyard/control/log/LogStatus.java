package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.Membership;

/**
 * Status of the log on one host, as of the last step of the host.
 *
 * @param term the current term
 * @param elected whether this host was elected leader in the term
 * @param established whether this host is the leader and has applied all earlier committed commands
 * @param leader the presumed leader, or empty if none is known
 * @param leaderAddress the inner address of the presumed leader
 * @param appliedIndex index of the last entry applied to the state machine
 * @param snapshotIndex index of the last entry covered by the newest snapshot
 * @param membership the replicas, as of the latest membership change
 */
public record LogStatus(
    long term,
    boolean elected,
    boolean established,
    Optional<HostId> leader,
    Optional<InetSocketAddress> leaderAddress,
    long appliedIndex,
    long snapshotIndex,
    Membership membership) {
  /** The status before the log is part of a cluster, and after the log has stopped. */
  static final LogStatus NONE =
      new LogStatus(0, false, false, Optional.empty(), Optional.empty(), 0, 0, Membership.EMPTY);

  /** Returns whether requests can reach a leader: this host, or another host that is known. */
  boolean isLeaderKnown() {
    return established || !elected && leader.isPresent();
  }

  /** Returns whether this host has lost the leadership of the earlier status. */
  boolean lostLeadershipSince(LogStatus earlier) {
    return earlier.elected && !(elected && term == earlier.term);
  }
}
