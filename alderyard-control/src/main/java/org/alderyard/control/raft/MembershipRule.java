package org.alderyard.control.raft;

import java.util.List;
import java.util.function.LongPredicate;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;

/** Decides whether a change fits the members of now. */
final class MembershipRule {
  private final Membership now;
  private final LongPredicate hasCaughtUp;

  MembershipRule(Membership now, LongPredicate hasCaughtUp) {
    this.now = now;
    this.hasCaughtUp = hasCaughtUp;
  }

  Verdict judge(MembershipChange change) {
    if (change instanceof AddLearner add) {
      boolean known = now.member(add.member().getReplicaId()).isPresent();
      return known ? Verdict.ALREADY_MEMBER : Verdict.ACCEPTED;
    }
    if (change instanceof Promote promote) {
      return judgePromotion(promote.replicaId());
    }
    long replicaId = ((Remove) change).replicaId();
    if (now.member(replicaId).isEmpty()) {
      return Verdict.UNKNOWN_REPLICA;
    }
    boolean last = now.voters().equals(List.of(replicaId));
    return last ? Verdict.LAST_VOTER : Verdict.ACCEPTED;
  }

  /**
   * Guards against a new voter with an empty log: the majority would then hang on it until it has
   * copied everything, and the loss of one more host would stop the log.
   */
  private Verdict judgePromotion(long replicaId) {
    if (now.member(replicaId).isEmpty()) {
      return Verdict.UNKNOWN_REPLICA;
    }
    if (now.isVoter(replicaId)) {
      return Verdict.ALREADY_MEMBER;
    }
    return hasCaughtUp.test(replicaId) ? Verdict.ACCEPTED : Verdict.LEARNER_BEHIND;
  }

  Membership resultOf(MembershipChange change) {
    if (change instanceof AddLearner add) {
      return now.with(add.member().toBuilder().setVoter(false).build());
    }
    if (change instanceof Promote promote) {
      return now.with(
          now.member(promote.replicaId()).orElseThrow().toBuilder().setVoter(true).build());
    }
    return now.without(((Remove) change).replicaId());
  }
}
