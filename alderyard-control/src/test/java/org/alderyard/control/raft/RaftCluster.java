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

/** Replicas in one thread under a paused clock, with a message pipe that a test can spoil. */
final class RaftCluster {
  private static final int SETTLE_TURNS = 3_000;
  private static final long TURN_MILLIS = 10;

  final RaftInvariants invariants = new RaftInvariants();
  final Map<Long, RaftReplica> replicas = new TreeMap<>();
  final List<RaftMessage> pipe = new ArrayList<>();
  private final Set<List<Long>> cuts = new HashSet<>();
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
    if (!cuts.contains(List.of(message.getFrom(), message.getTo()))) {
      pipe.add(message);
    }
  }

  void cut(long from, long to) {
    cuts.add(List.of(from, to));
    pipe.removeIf(message -> message.getFrom() == from && message.getTo() == to);
  }

  void isolate(long id) {
    for (long other : replicas.keySet()) {
      cut(id, other);
      cut(other, id);
    }
  }

  void heal() {
    cuts.clear();
  }

  Collection<RaftReplica> up() {
    return replicas.values().stream().filter(RaftReplica::isUp).toList();
  }

  Optional<RaftReplica> leader() {
    return up().stream()
        .filter(RaftReplica::leads)
        .max((a, b) -> Long.compare(a.core().term(), b.core().term()));
  }

  RaftReplica replica(long id) {
    return replicas.get(id);
  }

  long nowMillis() {
    return nowMillis;
  }

  void advance(long millis) {
    nowMillis += millis;
  }

  void tick(RaftReplica replica, boolean crashBeforeSync) {
    replica.core().tick(nowMillis);
    replica.perform(crashBeforeSync);
  }

  void deliver(RaftMessage message, boolean crashBeforeSync) {
    RaftReplica target = replicas.get(message.getTo());
    if (target == null || !target.isUp()) {
      return;
    }
    target.core().receive(message, nowMillis);
    target.perform(crashBeforeSync);
  }

  boolean propose(RaftReplica replica) {
    nextCommand++;
    boolean taken =
        replica.core().propose(ByteString.copyFromUtf8("command-" + nextCommand)).isPresent();
    replica.perform(false);
    return taken;
  }

  /** Lets time pass with a sound pipe: everything that is not cut arrives in order. */
  void run(long millis) {
    for (long passed = 0; passed < millis; passed += TURN_MILLIS) {
      advance(TURN_MILLIS);
      for (RaftReplica replica : up()) {
        tick(replica, false);
      }
      while (!pipe.isEmpty()) {
        deliver(pipe.remove(0), false);
      }
    }
  }

  /** Runs until one replica leads and all members that are up hold the same; fails otherwise. */
  RaftReplica settle() {
    for (int turn = 0; turn < SETTLE_TURNS; turn++) {
      run(TURN_MILLIS);
      Optional<RaftReplica> leader = leader();
      if (leader.isPresent() && isSettled(leader.get())) {
        return leader.get();
      }
    }
    throw new AssertionError("not settled after " + SETTLE_TURNS * TURN_MILLIS + " ms");
  }

  private boolean isSettled(RaftReplica leader) {
    RaftCore core = leader.core();
    if (core.commitIndex() < core.lastIndex() || core.termAt(core.commitIndex()) != core.term()) {
      return false;
    }
    return core.membership().replicaIds().stream()
        .map(replicas::get)
        .filter(RaftReplica::isUp)
        .allMatch(
            member ->
                member.appliedIndex() == leader.appliedIndex()
                    && member.core().term() == core.term());
  }
}
