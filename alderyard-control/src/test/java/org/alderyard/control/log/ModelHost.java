package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.alderyard.control.raft.Effects;
import org.alderyard.control.raft.LogSize;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.raft.RaftOptions;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftMessage;

/** A control host of a model: its disk, its replica and the membership changes that it makes. */
final class ModelHost {
  private static final Duration JOIN_INTERVAL = Duration.ofMillis(200);

  final String id;
  private final OpenMembership openMembership;
  private final SplittableRandom random;
  private final Consumer<RaftMessage> sender;
  long replicaId;
  boolean gone;
  long lostUntilMillis;
  long frozenUntilMillis;
  private long nextJoinMillis;
  private boolean founder;
  private boolean admitted;
  private HardState hardState;
  private Snapshot snapshot;
  private final List<Entry> stored = new ArrayList<>();
  private final List<String> applied = new ArrayList<>();
  private long appliedIndex;
  private MembershipRepair repair;
  // Null while the host is down.
  private RaftCore core;

  ModelHost(
      String id,
      OpenMembership openMembership,
      SplittableRandom random,
      Consumer<RaftMessage> sender) {
    this.id = id;
    this.openMembership = openMembership;
    this.random = random;
    this.sender = sender;
  }

  /** Gives the host an empty disk; it is a founder if the founders have it as a voter. */
  void format(long newReplicaId, Membership founders, boolean atFirstStart) {
    replicaId = newReplicaId;
    hardState = HardState.getDefaultInstance();
    snapshot = Snapshot.founding(founders);
    stored.clear();
    founder = atFirstStart;
    admitted = false;
  }

  void start(long nowMillis) {
    core =
        new RaftCore(
            replicaId, RaftOptions.defaults(), hardState, snapshot, stored, random, nowMillis);
    repair = new MembershipRepair(Optional.of(openMembership), JOIN_INTERVAL);
    restore(snapshot);
  }

  void crash() {
    core = null;
    frozenUntilMillis = 0;
  }

  boolean isRunning() {
    return core != null;
  }

  boolean isActive(long nowMillis) {
    return core != null && nowMillis >= frozenUntilMillis;
  }

  RaftCore core() {
    return core;
  }

  List<String> applied() {
    return applied;
  }

  private Member member() {
    return Member.newBuilder()
        .setReplicaId(replicaId)
        .setHostId(id)
        .setAddress(id)
        .setSuccessor(!founder && !admitted)
        .build();
  }

  /** Advances the time, and returns the request of a replica that has to join. */
  Optional<Member> tick(long nowMillis) {
    core.tick(nowMillis);
    repair.repair(core, nowMillis);
    boolean votes = core.membership().isVoter(replicaId);
    admitted |= votes;
    performEffects(false);
    if (nowMillis < nextJoinMillis || votes && core.leader().isPresent()) {
      return Optional.empty();
    }
    nextJoinMillis = nowMillis + JOIN_INTERVAL.toMillis();
    return Optional.of(member());
  }

  /** Handles a request to join; the host that sent it has answered which replica it runs. */
  void onJoin(Member joining, long nowMillis) {
    repair.recordJoin(joining, nowMillis);
    for (Member member : core.membership().membersOnHost(joining.getHostId())) {
      if (member.getReplicaId() != joining.getReplicaId()) {
        core.recordLostDisk(member.getReplicaId());
      }
    }
  }

  /** Handles the refusal of a connection by the machine of another replica. */
  void onEndedProcess(long endedReplicaId, long nowMillis) {
    core.recordEndedProcess(endedReplicaId, nowMillis);
    repair.repair(core, nowMillis);
    performEffects(false);
  }

  void receive(RaftMessage message, long nowMillis, boolean crashBeforeSync) {
    core.receive(message, nowMillis);
    performEffects(crashBeforeSync);
  }

  /** Proposes a command; returns false if this host does not lead. */
  boolean propose(String command) {
    boolean accepted = core.propose(ByteString.copyFromUtf8(command + ";")).isPresent();
    performEffects(false);
    return accepted;
  }

  private void performEffects(boolean crashBeforeSync) {
    for (int pass = 0; pass < 2; pass++) {
      Effects effects = core.takeEffects();
      effects.beforeSync().forEach(sender);
      if (crashBeforeSync && effects.needsSync()) {
        crash();
        return;
      }
      effects.hardState().ifPresent(changed -> hardState = changed);
      effects.snapshot().ifPresent(this::storeReceived);
      for (Entry entry : effects.entries()) {
        stored.removeIf(old -> old.getIndex() >= entry.getIndex());
        stored.add(entry);
      }
      core.markSynced();
      effects.afterSync().forEach(sender);
      effects.committed().forEach(this::apply);
    }
  }

  private void storeReceived(Snapshot received) {
    snapshot = received;
    stored.clear();
    restore(received);
  }

  private void apply(Entry entry) {
    appliedIndex = entry.getIndex();
    if (entry.getKind() == EntryKind.COMMAND) {
      applied.add(entry.getData().toStringUtf8());
    }
  }

  private void restore(Snapshot source) {
    appliedIndex = source.lastIndex();
    applied.clear();
    for (String command : source.data().toStringUtf8().split("(?<=;)")) {
      if (!command.isEmpty()) {
        applied.add(command);
      }
    }
  }

  void takeSnapshot() {
    if (appliedIndex <= snapshot.lastIndex()) {
      return;
    }
    snapshot =
        new Snapshot(
            appliedIndex,
            core.termAt(appliedIndex),
            core.membershipAt(appliedIndex),
            ByteString.copyFromUtf8(String.join("", applied)));
    stored.removeIf(entry -> entry.getIndex() <= snapshot.lastIndex());
    core.compact(snapshot, LogSize.ofEntries(random.nextInt(4)));
  }
}
