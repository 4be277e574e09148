package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Demote;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs random schedules: messages are lost, duplicated and reordered, links fail in one direction,
 * replicas crash before and after a sync, disks are wiped, members are added and removed. The
 * invariants are checked at each step, and the replicas must converge once the faults end.
 */
class RaftScheduleTest {
  private static final int SEEDS = 200;
  private static final int STEPS = 1_500;
  private static final int MAX_REPLICAS = 9;

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5})
  void invariantsHoldAndReplicasConvergeAfterFaults(int founders) {
    long steps = 0;
    long committed = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        committed += new Schedule(seed * 1_000 + founders, founders).run();
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("seed " + seed + " of " + founders + " founders", failure);
      }
      steps += STEPS;
    }
    assertThat(steps).isEqualTo((long) SEEDS * STEPS);
    assertWithMessage("entries committed under faults").that(committed).isAtLeast(SEEDS * 10L);
  }

  /** A schedule whose choices all follow from the seed. */
  private static final class Schedule {
    private final SplittableRandom random;
    private final RaftCluster cluster;
    private final Set<Long> wiped = new HashSet<>();
    private long nextReplicaId;
    private long nextReadId;

    Schedule(long seed, int founders) {
      random = new SplittableRandom(seed);
      cluster = new RaftCluster(seed, founders);
      nextReplicaId = founders + 1L;
    }

    long run() {
      for (int step = 0; step < STEPS; step++) {
        performStep(random.nextInt(1_000));
      }
      final long committed = cluster.invariants.highestCommitted();
      recover();
      return committed;
    }

    private void performStep(int choice) {
      if (choice < 620) {
        deliverMessage();
      } else if (choice < 860) {
        tickReplica();
      } else if (choice < 920) {
        anyLeader().ifPresent(cluster::propose);
      } else if (choice < 940) {
        requestRead();
      } else if (choice < 955) {
        crashOrStartReplica();
      } else if (choice < 968) {
        blockOrRestoreLinks();
      } else if (choice < 980) {
        takeSnapshotOnReplica();
      } else if (choice < 994) {
        changeMembers();
      } else if (choice < 997) {
        handOver();
      } else if (choice < 998) {
        reportLostDisk();
      } else {
        wipeDisk();
      }
    }

    private <T> T pick(List<T> list) {
      return list.get(random.nextInt(list.size()));
    }

    /**
     * Delivers the first queued message or, sometimes, any other one. Some messages are lost and
     * some are delivered twice.
     */
    private void deliverMessage() {
      if (cluster.messages.isEmpty()) {
        tickReplica();
        return;
      }
      int candidateCount = random.nextInt(10) == 0 ? cluster.messages.size() : 1;
      RaftMessage message = cluster.messages.remove(random.nextInt(candidateCount));
      int faultRoll = random.nextInt(100);
      if (faultRoll < 4) {
        return;
      }
      if (faultRoll < 8) {
        cluster.messages.add(message);
      }
      cluster.deliver(message, faultRoll == 99);
    }

    private void tickReplica() {
      cluster.advanceClock(random.nextInt(500) == 0 ? 1_000 : random.nextInt(12));
      List<RaftReplica> running = List.copyOf(cluster.runningReplicas());
      if (!running.isEmpty()) {
        cluster.tick(pick(running), random.nextInt(200) == 0);
      }
    }

    /** Returns a replica that is in the leader role; it may have been replaced meanwhile. */
    private Optional<RaftReplica> anyLeader() {
      List<RaftReplica> leaders =
          cluster.runningReplicas().stream().filter(RaftReplica::isLeader).toList();
      return leaders.isEmpty() ? Optional.empty() : Optional.of(pick(leaders));
    }

    private void requestRead() {
      anyLeader()
          .ifPresent(
              leader -> {
                nextReadId++;
                cluster.invariants.recordRead(nextReadId);
                leader.core().requestRead(nextReadId);
                leader.performEffects(false);
              });
    }

    private void crashOrStartReplica() {
      RaftReplica replica = pick(List.copyOf(cluster.replicas.values()));
      if (replica.isRunning()) {
        replica.crash();
      } else if (!wiped.contains(replica.id)) {
        replica.start(cluster.nowMillis());
      }
    }

    private void blockOrRestoreLinks() {
      List<Long> ids = List.copyOf(cluster.replicas.keySet());
      if (random.nextInt(3) == 0) {
        cluster.restoreLinks();
      } else if (random.nextInt(4) == 0) {
        cluster.isolate(pick(ids));
      } else {
        cluster.blockLink(pick(ids), pick(ids));
      }
    }

    private void takeSnapshotOnReplica() {
      List<RaftReplica> running = List.copyOf(cluster.runningReplicas());
      if (!running.isEmpty()) {
        pick(running).takeSnapshot(random.nextInt(4));
      }
    }

    private void handOver() {
      anyLeader()
          .ifPresent(
              leader -> {
                leader.core().handOver(pick(List.copyOf(cluster.replicas.keySet())));
                leader.performEffects(false);
              });
    }

    private void changeMembers() {
      anyLeader()
          .ifPresent(
              leader -> {
                leader.core().changeMembership(randomChange(leader.core().membership()));
                leader.performEffects(false);
              });
    }

    private MembershipChange randomChange(Membership membership) {
      List<Long> wipedMembers = membership.replicaIds().stream().filter(wiped::contains).toList();
      if (!wipedMembers.isEmpty()) {
        return new Remove(wipedMembers.get(0));
      }
      List<Long> learners =
          membership.replicaIds().stream().filter(id -> !membership.isVoter(id)).toList();
      if (!learners.isEmpty() && random.nextInt(3) > 0) {
        return new Promote(pick(learners));
      }
      if (membership.voters().size() > 2 && random.nextInt(2) == 0) {
        return random.nextBoolean()
            ? new Remove(pick(List.copyOf(membership.replicaIds())))
            : new Demote(pick(membership.voters()));
      }
      List<Long> nonMembers =
          cluster.replicas.keySet().stream()
              .filter(id -> membership.member(id).isEmpty() && !wiped.contains(id))
              .toList();
      if (!nonMembers.isEmpty()) {
        return new AddLearner(RaftCluster.member(pick(nonMembers)));
      }
      if (cluster.replicas.size() >= MAX_REPLICAS) {
        return new Remove(0);
      }
      RaftReplica added = cluster.add(nextReplicaId++, Membership.EMPTY);
      return new AddLearner(RaftCluster.member(added.id));
    }

    /** Wipes a disk permanently if the remaining voters can still form a majority. */
    private void wipeDisk() {
      boolean canLoseVoter =
          cluster.runningReplicas().stream()
              .map(replica -> replica.core().membership())
              .allMatch(
                  membership ->
                      membership.voters().size() >= 3
                          && membership.voters().stream().noneMatch(wiped::contains));
      if (!canLoseVoter
          || cluster.runningReplicas().size() < cluster.replicas.size() - wiped.size()) {
        return;
      }
      RaftReplica wipedReplica = pick(List.copyOf(cluster.runningReplicas()));
      wipedReplica.crash();
      wiped.add(wipedReplica.id);
    }

    /** Tells a replica of a lost disk, as the host does when it returns with an empty one. */
    private void reportLostDisk() {
      List<RaftReplica> running = List.copyOf(cluster.runningReplicas());
      if (!wiped.isEmpty() && !running.isEmpty()) {
        pick(running).core().recordLostDisk(pick(List.copyOf(wiped)));
      }
    }

    /**
     * Ends all faults and checks that a command is committed and that all members with a disk reach
     * the same state.
     */
    private void recover() {
      cluster.restoreLinks();
      for (RaftReplica replica : cluster.replicas.values()) {
        if (!replica.isRunning() && !wiped.contains(replica.id)) {
          replica.start(cluster.nowMillis());
        }
      }
      for (RaftReplica replica : cluster.runningReplicas()) {
        wiped.forEach(replica.core()::recordLostDisk);
      }
      RaftReplica leader = cluster.runUntilConverged();
      final long committedBefore = cluster.invariants.highestCommitted();
      if (!cluster.propose(leader)) {
        // A hand-over that began under faults blocks proposals for at most one election timeout.
        cluster.run(RaftReplica.OPTIONS.electionTimeoutMaxMillis());
        leader = cluster.runUntilConverged();
        assertThat(cluster.propose(leader)).isTrue();
      }
      RaftReplica finalLeader = cluster.runUntilConverged();
      assertThat(cluster.invariants.highestCommitted()).isGreaterThan(committedBefore);
      for (long id : finalLeader.core().membership().replicaIds()) {
        if (!wiped.contains(id)) {
          assertThat(cluster.replica(id).digest()).isEqualTo(finalLeader.digest());
        }
      }
      assertThat(leader.core().changeMembership(new Remove(-1))).isNotEqualTo(Verdict.ACCEPTED);
    }
  }
}
