package org.alderyard.control.log;

import java.util.Collection;
import java.util.Optional;
import java.util.function.LongPredicate;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Demote;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.protocol.generated.raft.Member;

/**
 * Decides the next membership change that adds a replica that is new or lost its disk.
 *
 * <p>The replica is added as a learner, then the old replica id of the same host is removed, then
 * the replica is promoted to voter. The old id cannot return, so its removal is safe. The old id is
 * removed only after the new replica has caught up, so that the cluster runs with fewer voters only
 * for a short time.
 *
 * <p>A voter that stops is replaced while it still votes: first the new replica is promoted, then
 * the voter is removed. As many further voters may be lost at any moment as without the change.
 *
 * <p>A successor, which joins a cluster that has all its voters, becomes a further voter as soon as
 * it has caught up. The host that it replaces may then end without notice.
 *
 * <p>Which host a successor replaces is unknown. A voter that is lost while a successor votes, or
 * that a successor replaces, therefore becomes a successor itself: if it returns, the place of a
 * further voter is free again.
 */
final class MembershipRepairPlan {
  /** Two replacements of hosts may overlap. */
  private static final int MAX_FURTHER_VOTERS = 2;

  private final Membership membership;
  private final LongPredicate hasCaughtUp;
  private final int maxVoters;
  private final LongPredicate isLost;
  private final LongPredicate isLeaving;
  private final LongPredicate mayVoteInAdvance;

  /** Creates a plan in which every joining replica becomes a voter. */
  MembershipRepairPlan(Membership membership, LongPredicate hasCaughtUp) {
    this(
        membership,
        hasCaughtUp,
        Integer.MAX_VALUE,
        replicaId -> false,
        replicaId -> false,
        replicaId -> false);
  }

  /**
   * Creates a plan that limits the number of voters.
   *
   * @param isLost whether a voter has been unresponsive for so long that it may be replaced
   * @param isLeaving whether a voter has announced that it stops
   * @param mayVoteInAdvance whether a successor may become a further voter
   */
  MembershipRepairPlan(
      Membership membership,
      LongPredicate hasCaughtUp,
      int maxVoters,
      LongPredicate isLost,
      LongPredicate isLeaving,
      LongPredicate mayVoteInAdvance) {
    this.membership = membership;
    this.hasCaughtUp = hasCaughtUp;
    this.maxVoters = maxVoters;
    this.isLost = isLost;
    this.isLeaving = isLeaving;
    this.mayVoteInAdvance = mayVoteInAdvance;
  }

  /** Returns the next change for the joining replicas, or empty if no change is due. */
  Optional<MembershipChange> nextChange(Collection<Member> candidates) {
    if (membership.voters().size() > maxVoters) {
      Optional<MembershipChange> surplus =
          firstVoter(isLeaving)
              .map(voter -> (MembershipChange) new Remove(voter))
              .or(() -> firstVoter(isLost).map(Demote::new));
      if (surplus.isPresent()) {
        return surplus;
      }
    }
    return candidates.stream().map(this::changeFor).flatMap(Optional::stream).findFirst();
  }

  /** Returns whether one of the candidates could take the vote of another replica now. */
  boolean hasSuccessor(Collection<Member> candidates) {
    return candidates.stream()
        .anyMatch(
            member ->
                !membership.isVoter(member.getReplicaId())
                    && hasCaughtUp.test(member.getReplicaId()));
  }

  private Optional<Long> firstVoter(LongPredicate condition) {
    return membership.voters().stream().filter(condition::test).findFirst();
  }

  private Optional<MembershipChange> changeFor(Member replica) {
    if (membership.isVoter(replica.getReplicaId())) {
      return Optional.empty();
    }
    if (membership.member(replica.getReplicaId()).isEmpty()) {
      return Optional.of(new AddLearner(replica));
    }
    if (!hasCaughtUp.test(replica.getReplicaId())) {
      return Optional.empty();
    }
    return membership.membersOnHost(replica.getHostId()).stream()
        .filter(member -> member.getReplicaId() != replica.getReplicaId())
        .map(old -> (MembershipChange) new Remove(old.getReplicaId()))
        .findFirst()
        .or(() -> promoteOrMakeRoom(replica));
  }

  /**
   * Promotes the replica if there are too few voters or one of them leaves, or else removes a lost
   * voter first. Promotion before the removal of a lost voter would increase the majority that is
   * required. Without a lost voter, a successor is promoted in advance.
   */
  private Optional<MembershipChange> promoteOrMakeRoom(Member replica) {
    int surplus = membership.voters().size() - maxVoters;
    MembershipChange promotion = new Promote(replica.getReplicaId());
    if (surplus < 0 || surplus == 0 && firstVoter(isLeaving).isPresent()) {
      return Optional.of(promotion);
    }
    if (surplus == 0 && firstVoter(isLost).isPresent()) {
      return firstVoter(isLost)
          .map(voter -> replica.getSuccessor() ? new Demote(voter) : new Remove(voter));
    }
    boolean inAdvance =
        surplus < MAX_FURTHER_VOTERS
            && replica.getSuccessor()
            && mayVoteInAdvance.test(replica.getReplicaId());
    return inAdvance ? Optional.of(promotion) : Optional.empty();
  }
}
