package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.util.concurrent.Executor;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.control.raft.Effects;
import org.alderyard.control.raft.LogSize;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.control.store.ReplicaStore;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the effects of the Raft core to the disk, the network and the state machine. Used only on
 * the serial loop.
 */
final class LogDriver {
  private static final Logger log = LoggerFactory.getLogger(LogDriver.class);

  /** Keeps the bytes written for snapshots below the bytes written for entries. */
  private static final long ENTRY_BYTES_PER_SNAPSHOT_BYTE = 2;

  private final RaftCore core;
  private final ReplicaStore store;
  private final StateMachine stateMachine;
  private final RaftTransport transport;
  private final PendingRequests pending;
  private final ReplicatedLogOptions options;
  private final SerialLoop loop;
  private final Executor snapshotExecutor;
  private final MonotonicClock clock;
  private long appliedIndex;
  private long snapshotIndex;
  private long appliedBytesSinceSnapshot;
  private long lastSnapshotBytes;
  private boolean snapshotInProgress;

  LogDriver(
      RaftCore core,
      ReplicaStore store,
      StateMachine stateMachine,
      RaftTransport transport,
      PendingRequests pending,
      ReplicatedLogOptions options,
      SerialLoop loop,
      Executor snapshotExecutor,
      MonotonicClock clock) {
    this.core = core;
    this.store = store;
    this.stateMachine = stateMachine;
    this.transport = transport;
    this.pending = pending;
    this.options = options;
    this.loop = loop;
    this.snapshotExecutor = snapshotExecutor;
    this.clock = clock;
    Snapshot storedSnapshot = store.recovered().snapshot();
    if (storedSnapshot.lastIndex() > 0) {
      restore(storedSnapshot);
    }
  }

  RaftCore core() {
    return core;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  long snapshotIndex() {
    return snapshotIndex;
  }

  /** Performs effects until the core has none left. All steps before the call share one sync. */
  void performEffects() {
    for (Effects effects = core.takeEffects(); !isIdle(effects); effects = core.takeEffects()) {
      transport.send(effects.beforeSync());
      sync(effects);
      core.markSynced();
      transport.send(effects.afterSync());
      effects.snapshot().ifPresent(this::restore);
      effects.committed().forEach(this::apply);
      effects.reads().forEach(read -> pending.confirmRead(read.readId(), read.index()));
      pending.completeReads(appliedIndex);
    }
    if (!snapshotInProgress && isSnapshotDue()) {
      startSnapshot();
    }
  }

  private boolean isSnapshotDue() {
    LogSize limit = options.snapshotAfter();
    long maxBytes = Math.max(limit.bytes(), ENTRY_BYTES_PER_SNAPSHOT_BYTE * lastSnapshotBytes);
    return appliedIndex - snapshotIndex >= limit.entries() || appliedBytesSinceSnapshot >= maxBytes;
  }

  /** Logs slow syncs: no heartbeat is sent during a sync, so a slow disk can cause an election. */
  private void sync(Effects effects) {
    long startMillis = clock.nowMillis();
    store.sync(effects);
    long elapsedMillis = clock.nowMillis() - startMillis;
    if (elapsedMillis >= options.raft().heartbeatMillis()) {
      log.warn("event=sync-slow millis={} entries={}", elapsedMillis, effects.entries().size());
    }
  }

  private static boolean isIdle(Effects effects) {
    return !effects.needsSync()
        && effects.beforeSync().isEmpty()
        && effects.afterSync().isEmpty()
        && effects.committed().isEmpty()
        && effects.reads().isEmpty();
  }

  private void apply(Entry entry) {
    appliedIndex = entry.getIndex();
    appliedBytesSinceSnapshot += entry.getSerializedSize();
    if (entry.getKind() == EntryKind.COMMAND) {
      applyCommand(entry);
    }
  }

  private void applyCommand(Entry entry) {
    try {
      ByteString result = stateMachine.apply(entry.getIndex(), entry.getData());
      pending.completeProposal(entry.getIndex(), entry.getTerm(), result);
    } catch (EntryRefusedException refused) {
      pending.failProposal(entry.getIndex(), entry.getTerm(), refused);
    }
  }

  private void restore(Snapshot snapshot) {
    stateMachine.restore(snapshot.lastIndex(), snapshot.data());
    appliedIndex = snapshot.lastIndex();
    snapshotIndex = snapshot.lastIndex();
    recordSnapshotSize(snapshot);
    log.info("event=snapshot-restored index={} bytes={}", appliedIndex, snapshot.data().size());
  }

  private void recordSnapshotSize(Snapshot snapshot) {
    appliedBytesSinceSnapshot = 0;
    lastSnapshotBytes = snapshot.data().size();
  }

  /** Copies the state on the loop and writes the file on another thread, so heartbeats continue. */
  private void startSnapshot() {
    snapshotInProgress = true;
    Snapshot snapshot =
        new Snapshot(
            appliedIndex,
            core.termAt(appliedIndex),
            core.membershipAt(appliedIndex),
            stateMachine.snapshot());
    recordSnapshotSize(snapshot);
    snapshotExecutor.execute(() -> writeSnapshot(snapshot));
  }

  private void writeSnapshot(Snapshot snapshot) {
    try {
      store.save(snapshot);
    } catch (RuntimeException | Error failure) {
      loop.submit(
          () -> {
            throw failure;
          });
      return;
    }
    loop.submit(() -> onSnapshotSaved(snapshot));
  }

  private void onSnapshotSaved(Snapshot snapshot) {
    snapshotInProgress = false;
    store.trim(snapshot.lastIndex());
    core.compact(snapshot, options.keep());
    snapshotIndex = Math.max(snapshotIndex, snapshot.lastIndex());
    log.info("event=snapshot-saved index={} bytes={}", snapshotIndex, snapshot.data().size());
  }

  void close() {
    store.close();
  }
}
