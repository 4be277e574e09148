package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftMessage;

/**
 * Replicas that run in one thread under a simulated clock. They exchange messages through a queue
 * in which a test can block links and drop, duplicate or reorder messages.
 */
final class RaftCluster {
  private static final int MAX_CONVERGENCE_STEPS = 3_000;
  private static final long STEP_MILLIS = 10;

  final RaftInvariants invariants = new RaftInvariants();
  final Map<Long, RaftReplica> replicas = new TreeMap<>();
  final List<RaftMessage> messages = new ArrayList<>();
  private final Set<List<Long>> blockedLinks = new HashSet<>();
  private final SplittableRandom random;
  private long nowMillis;
  private long nextCommand;

  RaftCluster(long seed, int size) {
    random = new SplittableRandom(seed);
    List<Member> founders = new ArrayList<>();
    for (long id = 1; id <= size; id++) {
      founders.add(member(id).toBuilder().setVoter(true).build());
    }
    for (Member founder : founders) {
      add(founder.getReplicaId(), new Membership(founders));
    }
  }

  static Member member(long id) {
    return Member.newBuilder().setReplicaId(id).setHostId("host-" + id).build();
  }

  RaftReplica add(long id, Membership founders) {
    RaftReplica replica = new RaftReplica(id, founders, random.split(), invariants, this::enqueue);
    replicas.put(id, replica);
    replica.start(nowMillis);
    return replica;
  }

  private void enqueue(RaftMessage message) {
    if (!blockedLinks.contains(List.of(message.getFrom(), message.getTo()))) {
      messages.add(message);
    }
  }

  void blockLink(long from, long to) {
    blockedLinks.add(List.of(from, to));
    messages.removeIf(message -> message.getFrom() == from && message.getTo() == to);
  }

  void isolate(long id) {
    for (long other : replicas.keySet()) {
      blockLink(id, other);
      blockLink(other, id);
    }
  }

  void restoreLinks() {
    blockedLinks.clear();
  }

  Collection<RaftReplica> runningReplicas() {
    return replicas.values().stream().filter(RaftReplica::isRunning).toList();
  }

  Optional<RaftReplica> leader() {
    return runningReplicas().stream()
        .filter(RaftReplica::isLeader)
        .max((a, b) -> Long.compare(a.core().term(), b.core().term()));
  }

  RaftReplica replica(long id) {
    return replicas.get(id);
  }

  long nowMillis() {
    return nowMillis;
  }

  void advanceClock(long millis) {
    nowMillis += millis;
  }

  /** Guards against a heartbeat, step-down or election that a host sleeps through. */
  private static void checkNothingWasDue(RaftReplica replica, Role role, long nextTickMillis) {
    if (replica.core().role() != role || replica.core().nextTickMillis() != nextTickMillis) {
      throw new AssertionError("replica " + replica.id + " acted before " + nextTickMillis);
    }
  }

  void tick(RaftReplica replica, boolean crashBeforeSync) {
    long nextTickMillis = replica.core().nextTickMillis();
    Role role = replica.core().role();
    replica.core().tick(nowMillis);
    if (nowMillis < nextTickMillis) {
      checkNothingWasDue(replica, role, nextTickMillis);
    }
    replica.performEffects(crashBeforeSync);
  }

  void deliver(RaftMessage message, boolean crashBeforeSync) {
    RaftReplica target = replicas.get(message.getTo());
    if (target == null || !target.isRunning()) {
      return;
    }
    target.core().receive(message, nowMillis);
    target.performEffects(crashBeforeSync);
  }

  boolean propose(RaftReplica replica) {
    nextCommand++;
    boolean accepted =
        replica.core().propose(ByteString.copyFromUtf8("command-" + nextCommand)).isPresent();
    replica.performEffects(false);
    return accepted;
  }

  /**
   * Advances the clock in steps and delivers all messages of links that are not blocked, in order.
   */
  void run(long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      advanceClock(STEP_MILLIS);
      for (RaftReplica replica : runningReplicas()) {
        tick(replica, false);
      }
      while (!messages.isEmpty()) {
        deliver(messages.remove(0), false);
      }
    }
  }

  /**
   * Runs until a leader has committed its whole log and all running members have applied it; fails
   * if that takes too long. Returns the leader.
   */
  RaftReplica runUntilConverged() {
    for (int step = 0; step < MAX_CONVERGENCE_STEPS; step++) {
      run(STEP_MILLIS);
      Optional<RaftReplica> leader = leader();
      if (leader.isPresent() && hasConverged(leader.get())) {
        return leader.get();
      }
    }
    throw new AssertionError(
        "no convergence within " + MAX_CONVERGENCE_STEPS * STEP_MILLIS + " ms");
  }

  private boolean hasConverged(RaftReplica leader) {
    RaftCore core = leader.core();
    if (core.commitIndex() < core.lastIndex() || core.termAt(core.commitIndex()) != core.term()) {
      return false;
    }
    return core.membership().replicaIds().stream()
        .map(replicas::get)
        .filter(RaftReplica::isRunning)
        .allMatch(
            member ->
                member.appliedIndex() == leader.appliedIndex()
                    && member.core().term() == core.term());
  }
}
