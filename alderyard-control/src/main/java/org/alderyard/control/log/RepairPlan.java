package org.alderyard.control.log;

import java.util.Collection;
import java.util.Optional;
import java.util.function.LongPredicate;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.protocol.generated.raft.Member;

/**
 * Decides the next step to take a replica in that returned with an empty disk, or is new.
 *
 * <p>The order is: learn, then remove the old id of the same host, then vote. The old id can't come
 * back, so its removal costs no safety; it goes only once the new one holds the log, so that the
 * time in which the majority is smaller stays short.
 */
final class RepairPlan {
  private final Membership membership;
  private final LongPredicate hasCaughtUp;
  private final int voters;
  private final LongPredicate isLost;

  /** Creates a plan in which every replica that asks becomes a voter. */
  RepairPlan(Membership membership, LongPredicate hasCaughtUp) {
    this(membership, hasCaughtUp, Integer.MAX_VALUE, replicaId -> false);
  }

  /**
   * Creates a plan that keeps to a number of voters.
   *
   * @param isLost whether a voter has been silent for so long that another may take its place
   */
  RepairPlan(Membership membership, LongPredicate hasCaughtUp, int voters, LongPredicate isLost) {
    this.membership = membership;
    this.hasCaughtUp = hasCaughtUp;
    this.voters = voters;
    this.isLost = isLost;
  }

  /** Returns the next change for the replicas that asked to be taken in, if one is due. */
  Optional<MembershipChange> next(Collection<Member> joining) {
    return joining.stream().map(this::step).flatMap(Optional::stream).findFirst();
  }

  private Optional<MembershipChange> step(Member replica) {
    if (membership.isVoter(replica.getReplicaId())) {
      return Optional.empty();
    }
    if (membership.member(replica.getReplicaId()).isEmpty()) {
      return Optional.of(new AddLearner(replica));
    }
    if (!hasCaughtUp.test(replica.getReplicaId())) {
      return Optional.empty();
    }
    return membership.membersOf(replica.getHostId()).stream()
        .filter(member -> member.getReplicaId() != replica.getReplicaId())
        .map(old -> (MembershipChange) new Remove(old.getReplicaId()))
        .findFirst()
        .or(() -> seat(replica));
  }

  /** A lost voter goes first: a vote beside it would make the majority larger than it was. */
  private Optional<MembershipChange> seat(Member replica) {
    if (membership.voters().size() < voters) {
      return Optional.of(new Promote(replica.getReplicaId()));
    }
    return membership.voters().stream()
        .filter(isLost::test)
        .findFirst()
        .map(lost -> (MembershipChange) new Remove(lost));
  }
}
