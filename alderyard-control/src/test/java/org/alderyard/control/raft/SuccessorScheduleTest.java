package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
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
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs random schedules in which a successor votes, one voter is gone for good without notice, and
 * others lose their disks at any time after that.
 */
class SuccessorScheduleTest {
  private static final int SEEDS = 150;
  private static final int MAX_REPLICAS = 9;

  /**
   * Guards against a log that ends for good, or forgets entries, when as many disks are lost as may
   * be lost, in the moment in which a replaced host has gone.
   */
  @ParameterizedTest
  @CsvSource({"3, 1", "5, 2"})
  void logOutlivesLossOfDisksAfterHostIsGone(int voters, int lostDisks) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        Schedule schedule = new Schedule(seed * 100 + voters, voters);
        schedule.loseDisks(lostDisks);
        schedule.recover();
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("seed " + seed + " of " + voters + " voters", failure);
      }
    }
  }

  /**
   * Guards against two leaders of one term, and against entries that change, when more disks are
   * lost than may be lost: the log may end then, but what it returns stays right.
   */
  @ParameterizedTest
  @CsvSource({"3, 2", "5, 3"})
  void lossOfTooManyDisksNeverSplitsTheLog(int voters, int lostDisks) {
    long checks = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Schedule schedule = new Schedule(seed * 100 + voters, voters);
      try {
        schedule.loseDisks(lostDisks);
        schedule.runSteps(1_500);
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("seed " + seed + " of " + voters + " voters", failure);
      }
      checks += schedule.cluster.invariants.checks();
    }
    assertThat(checks).isAtLeast(SEEDS);
  }

  /** A schedule whose choices all follow from the seed. */
  private static final class Schedule {
    private final SplittableRandom random;
    private final RaftCluster cluster;
    private final Set<Long> gone = new HashSet<>();
    private final Set<Long> wiped = new HashSet<>();
    private long nextReplicaId;

    Schedule(long seed, int voters) {
      random = new SplittableRandom(seed);
      cluster = new RaftCluster(seed, voters);
      nextReplicaId = voters + 1L;
      RaftReplica leader = cluster.runUntilConverged();
      RaftReplica successor = cluster.add(nextReplicaId++, Membership.EMPTY);
      change(leader, new AddLearner(RaftCluster.member(successor.id)));
      cluster.runUntilConverged();
      change(leader, new Promote(successor.id));
      cluster.propose(cluster.runUntilConverged());
      cluster.runUntilConverged();
    }

    private static void change(RaftReplica leader, MembershipChange change) {
      assertThat(leader.core().changeMembership(change)).isEqualTo(Verdict.ACCEPTED);
      leader.performEffects(false);
    }

    /** Ends one voter without notice, then takes the disks of others, at random times. */
    void loseDisks(int count) {
      runSteps(random.nextInt(400));
      RaftReplica removed = pick(List.copyOf(cluster.replicas.values()));
      removed.crash();
      gone.add(removed.id);
      for (int lost = 0; lost < count; lost++) {
        runSteps(random.nextInt(3) == 0 ? 0 : random.nextInt(600));
        RaftReplica replica = pick(withDisk());
        if (replica.isRunning()) {
          replica.crash();
        }
        wiped.add(replica.id);
      }
      runSteps(random.nextInt(600));
    }

    void runSteps(int count) {
      for (int step = 0; step < count; step++) {
        performStep(random.nextInt(1_000));
      }
    }

    private void performStep(int choice) {
      if (choice < 550) {
        deliverMessage();
      } else if (choice < 850) {
        tickReplica();
      } else if (choice < 920) {
        leader().ifPresent(cluster::propose);
      } else if (choice < 935) {
        crashOrStartReplica();
      } else if (choice < 945) {
        blockOrRestoreLinks();
      } else if (choice < 960) {
        reportLostDisk();
      } else if (choice < 990) {
        leader().ifPresent(this::removeOrReplace);
      } else {
        pickRunning().ifPresent(replica -> replica.takeSnapshot(random.nextInt(4)));
      }
    }

    private <T> T pick(List<T> list) {
      return list.get(random.nextInt(list.size()));
    }

    private Optional<RaftReplica> pickRunning() {
      List<RaftReplica> running = List.copyOf(cluster.runningReplicas());
      return running.isEmpty() ? Optional.empty() : Optional.of(pick(running));
    }

    private List<RaftReplica> withDisk() {
      return cluster.replicas.values().stream()
          .filter(replica -> !gone.contains(replica.id) && !wiped.contains(replica.id))
          .toList();
    }

    private Optional<RaftReplica> leader() {
      List<RaftReplica> leaders =
          cluster.runningReplicas().stream().filter(RaftReplica::isLeader).toList();
      return leaders.isEmpty() ? Optional.empty() : Optional.of(pick(leaders));
    }

    private void deliverMessage() {
      if (cluster.messages.isEmpty()) {
        tickReplica();
        return;
      }
      int candidates = random.nextInt(8) == 0 ? cluster.messages.size() : 1;
      RaftMessage message = cluster.messages.remove(random.nextInt(candidates));
      int fault = random.nextInt(100);
      if (fault < 4) {
        return;
      }
      if (fault < 8) {
        cluster.messages.add(message);
      }
      cluster.deliver(message, fault == 99);
    }

    private void tickReplica() {
      cluster.advanceClock(random.nextInt(12));
      pickRunning().ifPresent(replica -> cluster.tick(replica, random.nextInt(200) == 0));
    }

    private void crashOrStartReplica() {
      RaftReplica replica = pick(withDisk());
      if (replica.isRunning()) {
        replica.crash();
      } else {
        replica.start(cluster.nowMillis());
      }
    }

    private void blockOrRestoreLinks() {
      List<Long> ids = List.copyOf(cluster.replicas.keySet());
      if (random.nextInt(3) == 0) {
        cluster.restoreLinks();
      } else {
        cluster.blockLink(pick(ids), pick(ids));
      }
    }

    private void reportLostDisk() {
      if (!wiped.isEmpty()) {
        long lost = pick(List.copyOf(wiped));
        pickRunning().ifPresent(replica -> replica.core().recordLostDisk(lost));
      }
    }

    /** Makes a change that repairs the membership: removes who is lost, or adds a replacement. */
    private void removeOrReplace(RaftReplica leader) {
      Membership membership = leader.core().membership();
      List<MembershipChange> changes = new ArrayList<>();
      for (long id : membership.replicaIds()) {
        if (gone.contains(id) || wiped.contains(id)) {
          changes.add(
              membership.isVoter(id) && random.nextBoolean() ? new Demote(id) : new Remove(id));
        } else if (!membership.isVoter(id)) {
          changes.add(new Promote(id));
        }
      }
      if (cluster.replicas.size() < MAX_REPLICAS && !wiped.isEmpty()) {
        RaftReplica replacement = cluster.add(nextReplicaId++, Membership.EMPTY);
        changes.add(new AddLearner(RaftCluster.member(replacement.id)));
      }
      if (!changes.isEmpty()) {
        leader.core().changeMembership(pick(changes));
        leader.performEffects(false);
      }
    }

    /** Ends all faults but the losses; the rest must elect a leader and commit a command. */
    void recover() {
      cluster.restoreLinks();
      for (RaftReplica replica : withDisk()) {
        if (!replica.isRunning()) {
          replica.start(cluster.nowMillis());
        }
        wiped.forEach(replica.core()::recordLostDisk);
      }
      RaftReplica leader = cluster.runUntilConverged();
      final long committedBefore = cluster.invariants.highestCommitted();
      assertThat(cluster.propose(leader)).isTrue();
      cluster.runUntilConverged();
      assertThat(cluster.invariants.highestCommitted()).isGreaterThan(committedBefore);
    }
  }
}
