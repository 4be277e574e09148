package org.alderyard.control.log;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.alderyard.control.raft.MembershipChange;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Demote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.raft.Role;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.Replacement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the requests of replicas that join and of voters that stop, and makes the membership
 * changes of the leader. Used only on the serial loop.
 */
final class MembershipRepair {
  private static final Logger log = LoggerFactory.getLogger(MembershipRepair.class);
  private static final int JOIN_REQUEST_RETENTION_ROUNDS = 20;
  // Short enough that a learner takes the vote of a host that is gone before the next host may be
  // lost. A voter that returns later joins as a learner.
  private static final long VOTER_LOST_AFTER_MILLIS = 2_000;
  // Longer than an election. While a successor votes already, the removal of a voter leaves enough
  // voters, and until then the cluster tolerates one loss less.
  private static final long REPLACED_VOTER_LOST_AFTER_MILLIS = 600;
  // A voter that is lost again and again then changes the membership twice in this time at most. A
  // host that returns must vote before it no longer counts as lost, which takes 4 s.
  private static final long READMISSION_DELAY_MILLIS = 2_000;
  // A learner that returns later asks to join again.
  private static final long LEARNER_LOST_AFTER_MILLIS = 30_000;
  // Several heartbeats, after which a new leader knows which learners have caught up.
  private static final long FIRST_REPLIES_MILLIS = 200;
  // Several intervals of the requests of a voter that stops.
  private static final long LEAVING_RETENTION_MILLIS = 1_000;

  private final Optional<OpenMembership> openMembership;
  private final long joinRetentionMillis;
  private final Map<String, PendingJoin> joinRequests = new HashMap<>();
  // The time of the last request of each voter that stops.
  private final Map<Long, Long> leavingVoters = new HashMap<>();
  // The time at which each lost voter lost its vote.
  private final Map<Long, Long> demotedVoters = new HashMap<>();
  // The time at which each voter was removed that stopped while a successor voted.
  private final Map<Long, Long> stoppedVoters = new HashMap<>();

  MembershipRepair(Optional<OpenMembership> openMembership, Duration joinInterval) {
    this.openMembership = openMembership;
    joinRetentionMillis = JOIN_REQUEST_RETENTION_ROUNDS * joinInterval.toMillis();
  }

  private record PendingJoin(Member member, long receivedMillis) {}

  /** Records the request of a replica to join. */
  void recordJoin(Member member, long nowMillis) {
    joinRequests.put(member.getAddress(), new PendingJoin(member, nowMillis));
  }

  /**
   * Returns whether replicas ask this leader to join, voters stop, or a voter that a successor
   * replaces has ended, so that a change is due.
   */
  boolean isPending(RaftCore core) {
    return core.role() == Role.LEADER
        && (!joinRequests.isEmpty() || !leavingVoters.isEmpty() || hasEndedSurplusVoter(core));
  }

  private boolean hasEndedSurplusVoter(RaftCore core) {
    return openMembership.isPresent()
        && hasFurtherVoter(core)
        && core.membership().voters().stream().anyMatch(core::hasEnded);
  }

  /** Makes the next membership change if this host is the leader and one is due. */
  void repair(RaftCore core, long nowMillis) {
    joinRequests
        .values()
        .removeIf(
            join ->
                nowMillis - join.receivedMillis() > joinRetentionMillis
                    || core.membership().isVoter(join.member().getReplicaId()));
    leavingVoters.values().removeIf(since -> nowMillis - since > LEAVING_RETENTION_MILLIS);
    demotedVoters.values().removeIf(since -> nowMillis - since > READMISSION_DELAY_MILLIS);
    stoppedVoters.values().removeIf(since -> nowMillis - since > LEARNER_LOST_AFTER_MILLIS);
    if (core.role() != Role.LEADER) {
      return;
    }
    final boolean successorVotes = openMembership.isPresent() && hasFurtherVoter(core);
    Optional<MembershipChange> change =
        plan(core)
            .nextChange(candidates(core))
            .map(this::withPlaceOfStoppedVoter)
            .or(() -> removalOfLostLearner(core));
    if (change.isPresent() && core.changeMembership(change.get()) == Verdict.ACCEPTED) {
      log.info("event=membership-repair change=\"{}\" term={}", change.get(), core.term());
      if (change.get() instanceof Demote demote) {
        demotedVoters.put(demote.replicaId(), nowMillis);
      }
      if (change.get() instanceof Remove remove
          && successorVotes
          && leavingVoters.containsKey(remove.replicaId())) {
        stoppedVoters.put(remove.replicaId(), nowMillis);
      }
    }
  }

  /** Adds a voter that stopped and is back as a successor: the host to replace is another one. */
  private MembershipChange withPlaceOfStoppedVoter(MembershipChange change) {
    return change instanceof AddLearner add
            && stoppedVoters.containsKey(add.member().getReplicaId())
        ? new AddLearner(add.member().toBuilder().setSuccessor(true).build())
        : change;
  }

  /** Removes a learner that is gone, as the leader would otherwise connect to it for good. */
  private Optional<MembershipChange> removalOfLostLearner(RaftCore core) {
    if (openMembership.isEmpty()) {
      return Optional.empty();
    }
    return core.membership().members().stream()
        .filter(member -> !member.getVoter())
        .map(Member::getReplicaId)
        .filter(replicaId -> core.unresponsiveMillis(replicaId) > LEARNER_LOST_AFTER_MILLIS)
        .findFirst()
        .map(Remove::new);
  }

  private MembershipRepairPlan plan(RaftCore core) {
    if (openMembership.isEmpty()) {
      return new MembershipRepairPlan(core.membership(), core::hasCaughtUp);
    }
    long lostAfterMillis =
        hasFurtherVoter(core) ? REPLACED_VOTER_LOST_AFTER_MILLIS : VOTER_LOST_AFTER_MILLIS;
    return new MembershipRepairPlan(
        core.membership(),
        core::hasCaughtUp,
        openMembership.get().voterCount(),
        replicaId ->
            core.unresponsiveMillis(replicaId) > lostAfterMillis
                || hasFurtherVoter(core) && core.hasEnded(replicaId),
        leavingVoters::containsKey,
        replicaId -> !demotedVoters.containsKey(replicaId));
  }

  /** Returns whether a successor votes beside the voters that it may replace. */
  private boolean hasFurtherVoter(RaftCore core) {
    return core.membership().voters().size() > openMembership.orElseThrow().voterCount();
  }

  /**
   * Returns the replicas that may become voters: those that ask to join, and, with an open
   * membership, the learners. A new leader has not received the requests of the learners yet, and a
   * request does not say that a lost voter has become a successor.
   */
  private Collection<Member> candidates(RaftCore core) {
    Map<Long, Member> candidates = new LinkedHashMap<>();
    if (openMembership.isPresent()) {
      core.membership().members().stream()
          .filter(member -> !member.getVoter())
          .forEach(member -> candidates.put(member.getReplicaId(), member));
    }
    joinRequests
        .values()
        .forEach(join -> candidates.putIfAbsent(join.member().getReplicaId(), join.member()));
    return candidates.values();
  }

  /** Handles the request of a voter that stops, and returns how far its replacement is. */
  Replacement replace(RaftCore core, long replicaId, long nowMillis) {
    if (core.role() != Role.LEADER || openMembership.isEmpty()) {
      return Replacement.REPLACEMENT_UNKNOWN;
    }
    if (!core.membership().isVoter(replicaId)) {
      return core.isMembershipCommitted()
          ? Replacement.REPLACEMENT_DONE
          : Replacement.REPLACEMENT_IN_PROGRESS;
    }
    Collection<Member> candidates = candidates(core);
    if (!hasFurtherVoter(core) && !plan(core).hasSuccessor(candidates)) {
      return candidates.isEmpty() || core.leadingMillis() > FIRST_REPLIES_MILLIS
          ? Replacement.REPLACEMENT_IMPOSSIBLE
          : Replacement.REPLACEMENT_IN_PROGRESS;
    }
    leavingVoters.put(replicaId, nowMillis);
    repair(core, nowMillis);
    return Replacement.REPLACEMENT_IN_PROGRESS;
  }
}
