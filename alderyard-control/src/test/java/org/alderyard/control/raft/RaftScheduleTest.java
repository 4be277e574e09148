package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random schedules: messages are lost, doubled and reordered, links cut one way, replicas crash
 * before and after a sync, disks are wiped, members come and go. Invariants are checked at each
 * step, and each schedule must settle once the faults end.
 */
class RaftScheduleTest {
  private static final int SEEDS = 200;
  private static final int STEPS = 1_500;
  private static final int MAX_REPLICAS = 9;

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5})
  void invariantsHoldAndReplicasAgreeInTheEnd(int founders) {
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

  /** One schedule; every choice comes from the seed. */
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
        act(random.nextInt(1_000));
      }
      final long committed = cluster.invariants.highestCommitted();
      recover();
      return committed;
    }

    private void act(int choice) {
      if (choice < 620) {
        deliverOne();
      } else if (choice < 860) {
        tickOne();
      } else if (choice < 920) {
        anyLeader().ifPresent(cluster::propose);
      } else if (choice < 940) {
        readOne();
      } else if (choice < 955) {
        crashOrStart();
      } else if (choice < 968) {
        cutOrHeal();
      } else if (choice < 980) {
        snapshotOne();
      } else if (choice < 994) {
        changeMembers();
      } else if (choice < 998) {
        handOver();
      } else {
        wipeOne();
      }
    }

    private <T> T pick(List<T> list) {
      return list.get(random.nextInt(list.size()));
    }

    /** Takes a message from anywhere near the head of the pipe; some are lost, some come twice. */
    private void deliverOne() {
      if (cluster.pipe.isEmpty()) {
        tickOne();
        return;
      }
      int reach = random.nextInt(10) == 0 ? cluster.pipe.size() : 1;
      RaftMessage message = cluster.pipe.remove(random.nextInt(reach));
      int fate = random.nextInt(100);
      if (fate < 4) {
        return;
      }
      if (fate < 8) {
        cluster.pipe.add(message);
      }
      cluster.deliver(message, fate == 99);
    }

    private void tickOne() {
      cluster.advance(random.nextInt(500) == 0 ? 1_000 : random.nextInt(12));
      List<RaftReplica> up = List.copyOf(cluster.up());
      if (!up.isEmpty()) {
        cluster.tick(pick(up), random.nextInt(200) == 0);
      }
    }

    /** Returns a replica that believes it leads; it may have been replaced meanwhile. */
    private Optional<RaftReplica> anyLeader() {
      List<RaftReplica> leaders = cluster.up().stream().filter(RaftReplica::leads).toList();
      return leaders.isEmpty() ? Optional.empty() : Optional.of(pick(leaders));
    }

    private void readOne() {
      anyLeader()
          .ifPresent(
              leader -> {
                nextReadId++;
                cluster.invariants.readAsked(nextReadId);
                leader.core().read(nextReadId);
                leader.perform(false);
              });
    }

    private void crashOrStart() {
      RaftReplica replica = pick(List.copyOf(cluster.replicas.values()));
      if (replica.isUp()) {
        replica.crash();
      } else if (!wiped.contains(replica.id)) {
        replica.start(cluster.nowMillis());
      }
    }

    private void cutOrHeal() {
      List<Long> ids = List.copyOf(cluster.replicas.keySet());
      if (random.nextInt(3) == 0) {
        cluster.heal();
      } else if (random.nextInt(4) == 0) {
        cluster.isolate(pick(ids));
      } else {
        cluster.cut(pick(ids), pick(ids));
      }
    }

    private void snapshotOne() {
      List<RaftReplica> up = List.copyOf(cluster.up());
      if (!up.isEmpty()) {
        pick(up).takeSnapshot(random.nextInt(4));
      }
    }

    private void handOver() {
      anyLeader()
          .ifPresent(
              leader -> {
                leader.core().handOver(pick(List.copyOf(cluster.replicas.keySet())));
                leader.perform(false);
              });
    }

    private void changeMembers() {
      anyLeader()
          .ifPresent(
              leader -> {
                leader.core().change(randomChange(leader.core().membership()));
                leader.perform(false);
              });
    }

    private MembershipChange randomChange(Membership now) {
      List<Long> dead = now.replicaIds().stream().filter(wiped::contains).toList();
      if (!dead.isEmpty()) {
        return new Remove(dead.get(0));
      }
      List<Long> learners = now.replicaIds().stream().filter(id -> !now.isVoter(id)).toList();
      if (!learners.isEmpty() && random.nextInt(3) > 0) {
        return new Promote(pick(learners));
      }
      if (now.voters().size() > 2 && random.nextInt(2) == 0) {
        return new Remove(pick(List.copyOf(now.replicaIds())));
      }
      List<Long> outside =
          cluster.replicas.keySet().stream()
              .filter(id -> now.member(id).isEmpty() && !wiped.contains(id))
              .toList();
      if (!outside.isEmpty()) {
        return new AddLearner(RaftCluster.member(pick(outside)));
      }
      if (cluster.replicas.size() >= MAX_REPLICAS) {
        return new Remove(0);
      }
      RaftReplica added = cluster.add(nextReplicaId++, Membership.EMPTY);
      return new AddLearner(RaftCluster.member(added.id));
    }

    /** Loses a disk for good, where the voters that are left can still be a majority. */
    private void wipeOne() {
      boolean spare =
          cluster.up().stream()
              .map(replica -> replica.core().membership())
              .allMatch(
                  now ->
                      now.voters().size() >= 3 && now.voters().stream().noneMatch(wiped::contains));
      if (!spare || cluster.up().size() < cluster.replicas.size() - wiped.size()) {
        return;
      }
      RaftReplica lost = pick(List.copyOf(cluster.up()));
      lost.crash();
      wiped.add(lost.id);
    }

    /** Ends all faults; then a command commits and every member that lives holds the same. */
    private void recover() {
      cluster.heal();
      for (RaftReplica replica : cluster.replicas.values()) {
        if (!replica.isUp() && !wiped.contains(replica.id)) {
          replica.start(cluster.nowMillis());
        }
      }
      RaftReplica leader = cluster.settle();
      final long before = cluster.invariants.highestCommitted();
      if (!cluster.propose(leader)) {
        // A hand-over that began under faults pauses proposals, for one election timeout at most.
        cluster.run(RaftReplica.OPTIONS.electionTimeoutMaxMillis());
        leader = cluster.settle();
        assertThat(cluster.propose(leader)).isTrue();
      }
      RaftReplica last = cluster.settle();
      assertThat(cluster.invariants.highestCommitted()).isGreaterThan(before);
      for (long id : last.core().membership().replicaIds()) {
        if (!wiped.contains(id)) {
          assertThat(cluster.replica(id).digest()).isEqualTo(last.digest());
        }
      }
      assertThat(leader.core().change(new Remove(-1))).isNotEqualTo(Verdict.ACCEPTED);
    }
  }
}
