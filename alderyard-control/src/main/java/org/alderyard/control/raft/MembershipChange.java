package org.alderyard.control.raft;

import org.alderyard.protocol.generated.raft.Member;

/** A single membership change, which adds or removes at most one voter. */
public sealed interface MembershipChange {

  /**
   * Adds a learner, a replica that copies the log but does not vote.
   *
   * @param member the replica to add
   */
  record AddLearner(Member member) implements MembershipChange {}

  /**
   * Promotes a learner that has caught up to a voter.
   *
   * @param replicaId the replica id of the learner
   */
  record Promote(long replicaId) implements MembershipChange {}

  /**
   * Removes a voter or a learner.
   *
   * @param replicaId the replica id of the member
   */
  record Remove(long replicaId) implements MembershipChange {}

  /**
   * Takes the vote of a lost voter, which stays in the membership as a successor: a learner that
   * may become a further voter once it has caught up.
   *
   * @param replicaId the replica id of the voter
   */
  record Demote(long replicaId) implements MembershipChange {}

  /** Result of a requested membership change. */
  enum Verdict {
    /** The change was appended to the log. It is final once it is committed. */
    ACCEPTED,
    /** This replica is not the leader, or it is handing over the leadership. */
    NOT_LEADER,
    /** An earlier change or the first entry of the term of the leader is not committed yet. */
    CHANGE_IN_PROGRESS,
    /** The learner lacks too many entries or has not replied recently. */
    LEARNER_BEHIND,
    /** The replica is a member, or a voter if it was to be promoted, already. */
    ALREADY_MEMBER,
    /** The replica is not a member. */
    UNKNOWN_REPLICA,
    /** The replica is the last voter, which cannot be removed. */
    LAST_VOTER
  }
}
