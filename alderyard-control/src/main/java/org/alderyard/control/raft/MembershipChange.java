package org.alderyard.control.raft;

import org.alderyard.protocol.generated.raft.Member;

/** One step from a membership to the next; it changes at most one voter. */
public sealed interface MembershipChange {

  /**
   * Adds a replica that copies the log and does not vote.
   *
   * @param member the replica
   */
  record AddLearner(Member member) implements MembershipChange {}

  /**
   * Makes a learner that has caught up a voter.
   *
   * @param replicaId the learner
   */
  record Promote(long replicaId) implements MembershipChange {}

  /**
   * Removes a voter or a learner.
   *
   * @param replicaId the replica
   */
  record Remove(long replicaId) implements MembershipChange {}

  /** Why a change was taken or refused. */
  enum Verdict {
    /** The change is in the log; it counts once it is committed. */
    ACCEPTED,
    /** This replica doesn't lead. */
    NOT_LEADER,
    /** An earlier change, or the first entry of the leader's term, is not committed yet. */
    CHANGE_IN_PROGRESS,
    /** The learner lacks too much of the log, or was not heard lately. */
    LEARNER_BEHIND,
    /** The replica is a member already. */
    ALREADY_MEMBER,
    /** No such replica, or not in the role that the change needs. */
    UNKNOWN_REPLICA,
    /** Without this voter there would be none. */
    LAST_VOTER
  }
}
