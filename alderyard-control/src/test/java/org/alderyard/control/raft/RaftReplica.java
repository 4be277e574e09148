package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.RaftMessage;

/** A replica under test: the pure core, what it has synced, and a digest as its state. */
final class RaftReplica {
  static final RaftOptions OPTIONS = new RaftOptions(150, 300, 50, 60, 4, 16, 3);
  private static final int SNAPSHOT_BYTES = 50;

  final long id;
  private final RandomGenerator random;
  private final RaftInvariants invariants;
  private final Consumer<RaftMessage> network;
  private final List<Entry> stored = new ArrayList<>();
  private HardState hardState = HardState.getDefaultInstance();
  private Snapshot snapshot;
  private long digest;
  private long appliedIndex;
  // Null while the replica is down.
  private RaftCore core;

  RaftReplica(
      long id,
      Membership founders,
      RandomGenerator random,
      RaftInvariants invariants,
      Consumer<RaftMessage> network) {
    this.id = id;
    this.random = random;
    this.invariants = invariants;
    this.network = network;
    this.snapshot = Snapshot.founding(founders);
  }

  void start(long nowMillis) {
    core = new RaftCore(id, OPTIONS, hardState, snapshot, stored, random, nowMillis);
    restore(snapshot);
  }

  void crash() {
    core = null;
  }

  boolean isUp() {
    return core != null;
  }

  boolean leads() {
    return isUp() && core.role() == Role.LEADER;
  }

  RaftCore core() {
    return core;
  }

  long digest() {
    return digest;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  /** Performs all effects; the crash comes after the early messages and before the sync. */
  void perform(boolean crashBeforeSync) {
    for (int turn = 0; turn < 2; turn++) {
      Effects effects = core.drain();
      effects.early().forEach(network);
      if (crashBeforeSync && effects.needsSync()) {
        crash();
        return;
      }
      sync(effects);
      core.synced();
      effects.afterSync().forEach(network);
      effects.committed().forEach(this::apply);
      effects.reads().forEach(invariants::readConfirmed);
      if (leads()) {
        invariants.leads(this);
      }
    }
  }

  private void sync(Effects effects) {
    effects.hardState().ifPresent(changed -> hardState = changed);
    effects
        .snapshot()
        .ifPresent(
            received -> {
              snapshot = received;
              stored.clear();
              restore(received);
            });
    for (Entry entry : effects.entries()) {
      stored.removeIf(old -> old.getIndex() >= entry.getIndex());
      long previousTerm =
          stored.isEmpty() ? snapshot.lastTerm() : stored.get(stored.size() - 1).getTerm();
      stored.add(entry);
      invariants.stored(entry, previousTerm);
    }
  }

  private void apply(Entry entry) {
    if (entry.getIndex() != appliedIndex + 1) {
      throw new AssertionError("applied " + entry.getIndex() + " after " + appliedIndex);
    }
    appliedIndex = entry.getIndex();
    if (entry.getKind() == EntryKind.COMMAND) {
      digest = digest * 31 + entry.getData().hashCode();
    }
    invariants.applied(entry, digest);
  }

  private void restore(Snapshot from) {
    appliedIndex = from.lastIndex();
    digest = from.data().isEmpty() ? 0 : from.data().asReadOnlyByteBuffer().getLong();
    invariants.restored(appliedIndex, digest);
  }

  void takeSnapshot(long keepEntries) {
    if (appliedIndex <= snapshot.lastIndex()) {
      return;
    }
    ByteBuffer bytes = ByteBuffer.allocate(SNAPSHOT_BYTES).putLong(digest).rewind();
    snapshot =
        new Snapshot(
            appliedIndex,
            core.termAt(appliedIndex),
            core.membershipAt(appliedIndex),
            ByteString.copyFrom(bytes));
    stored.removeIf(entry -> entry.getIndex() <= snapshot.lastIndex());
    core.compact(snapshot, keepEntries);
  }
}
