package org.alderyard.control.raft;

import java.util.List;
import java.util.function.LongPredicate;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Demote;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;

/**
 * Checks whether a membership change is valid for the current members and computes the new members.
 */
final class MembershipChangeValidator {
  private final Membership current;
  private final LongPredicate hasCaughtUp;

  MembershipChangeValidator(Membership current, LongPredicate hasCaughtUp) {
    this.current = current;
    this.hasCaughtUp = hasCaughtUp;
  }

  Verdict validate(MembershipChange change) {
    if (change instanceof AddLearner add) {
      boolean exists = current.member(add.member().getReplicaId()).isPresent();
      return exists ? Verdict.ALREADY_MEMBER : Verdict.ACCEPTED;
    }
    if (change instanceof Promote promote) {
      return validatePromotion(promote.replicaId());
    }
    if (change instanceof Demote demote) {
      return validateLossOf(demote.replicaId(), current.isVoter(demote.replicaId()));
    }
    long replicaId = ((Remove) change).replicaId();
    return validateLossOf(replicaId, current.member(replicaId).isPresent());
  }

  private Verdict validateLossOf(long replicaId, boolean known) {
    if (!known) {
      return Verdict.UNKNOWN_REPLICA;
    }
    boolean isLastVoter = current.voters().equals(List.of(replicaId));
    return isLastVoter ? Verdict.LAST_VOTER : Verdict.ACCEPTED;
  }

  /**
   * Checks that the replica is a learner and has caught up. A voter with an empty log would block
   * the majority until it has copied the log, and the loss of one more host would stop the log.
   */
  private Verdict validatePromotion(long replicaId) {
    if (current.member(replicaId).isEmpty()) {
      return Verdict.UNKNOWN_REPLICA;
    }
    if (current.isVoter(replicaId)) {
      return Verdict.ALREADY_MEMBER;
    }
    return hasCaughtUp.test(replicaId) ? Verdict.ACCEPTED : Verdict.LEARNER_BEHIND;
  }

  Membership apply(MembershipChange change) {
    if (change instanceof AddLearner add) {
      return current.with(add.member().toBuilder().setVoter(false).build());
    }
    if (change instanceof Promote promote) {
      return current.with(
          current.member(promote.replicaId()).orElseThrow().toBuilder().setVoter(true).build());
    }
    if (change instanceof Demote demote) {
      return current.with(
          current.member(demote.replicaId()).orElseThrow().toBuilder()
              .setVoter(false)
              .setSuccessor(true)
              .build());
    }
    return current.without(((Remove) change).replicaId());
  }
}
