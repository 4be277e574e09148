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

/**
 * A replica under test: the state machine without I/O, its synced data, and a digest of the applied
 * commands as its state.
 */
final class RaftReplica {
  static final RaftOptions OPTIONS = new RaftOptions(150, 300, 50, 60, 4, 16, 3);
  private static final int SNAPSHOT_BYTES = 50;

  final long id;
  private final RandomGenerator random;
  private final RaftInvariants invariants;
  private final Consumer<RaftMessage> sender;
  private final List<Entry> stored = new ArrayList<>();
  private HardState hardState = HardState.getDefaultInstance();
  private Snapshot snapshot;
  private long digest;
  private long appliedIndex;
  // Null while the replica is not running.
  private RaftCore core;

  RaftReplica(
      long id,
      Membership founders,
      RandomGenerator random,
      RaftInvariants invariants,
      Consumer<RaftMessage> sender) {
    this.id = id;
    this.random = random;
    this.invariants = invariants;
    this.sender = sender;
    this.snapshot = Snapshot.founding(founders);
  }

  void start(long nowMillis) {
    core = new RaftCore(id, OPTIONS, hardState, snapshot, stored, random, nowMillis);
    restore(snapshot);
  }

  void crash() {
    core = null;
  }

  boolean isRunning() {
    return core != null;
  }

  boolean isLeader() {
    return isRunning() && core.role() == Role.LEADER;
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

  /**
   * Performs all effects. A simulated crash happens after the messages that need no sync and before
   * the sync.
   */
  void performEffects(boolean crashBeforeSync) {
    for (int pass = 0; pass < 2; pass++) {
      Effects effects = core.takeEffects();
      effects.beforeSync().forEach(sender);
      if (crashBeforeSync && effects.needsSync()) {
        crash();
        return;
      }
      sync(effects);
      core.markSynced();
      effects.afterSync().forEach(sender);
      effects.committed().forEach(this::apply);
      effects.reads().forEach(invariants::checkConfirmedRead);
      if (isLeader()) {
        invariants.checkLeader(this);
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
      invariants.checkStored(entry, previousTerm);
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
    invariants.checkApplied(entry, digest);
  }

  private void restore(Snapshot source) {
    appliedIndex = source.lastIndex();
    digest = source.data().isEmpty() ? 0 : source.data().asReadOnlyByteBuffer().getLong();
    invariants.checkState(appliedIndex, digest);
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
    core.compact(snapshot, LogSize.ofEntries(keepEntries));
  }
}
