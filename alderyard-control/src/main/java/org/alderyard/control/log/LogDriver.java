package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.util.concurrent.Executor;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.control.raft.Effects;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.control.store.ReplicaStore;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Performs the effects of the core on disk, network and state machine; used on the loop only. */
final class LogDriver {
  private static final Logger log = LoggerFactory.getLogger(LogDriver.class);

  private final RaftCore core;
  private final ReplicaStore store;
  private final StateMachine machine;
  private final Transport transport;
  private final PendingProposals pending;
  private final ReplicatedLogOptions options;
  private final SerialLoop loop;
  private final Executor saver;
  private final MonotonicClock clock;
  private long appliedIndex;
  private long snapshotIndex;
  private boolean saving;

  LogDriver(
      RaftCore core,
      ReplicaStore store,
      StateMachine machine,
      Transport transport,
      PendingProposals pending,
      ReplicatedLogOptions options,
      SerialLoop loop,
      Executor saver,
      MonotonicClock clock) {
    this.core = core;
    this.store = store;
    this.machine = machine;
    this.transport = transport;
    this.pending = pending;
    this.options = options;
    this.loop = loop;
    this.saver = saver;
    this.clock = clock;
    Snapshot stored = store.recovered().snapshot();
    if (stored.lastIndex() > 0) {
      restore(stored);
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

  /** Performs until the core asks for nothing more; one sync serves all steps before the call. */
  void perform() {
    for (Effects effects = core.drain(); !isIdle(effects); effects = core.drain()) {
      transport.send(effects.early());
      sync(effects);
      core.synced();
      transport.send(effects.afterSync());
      effects.snapshot().ifPresent(this::restore);
      effects.committed().forEach(this::apply);
      effects.reads().forEach(read -> pending.confirmed(read.readId(), read.index()));
      pending.reached(appliedIndex);
    }
    if (appliedIndex - snapshotIndex >= options.snapshotEntries() && !saving) {
      takeSnapshot();
    }
  }

  /** While a sync takes its time no heartbeat leaves: a slow disk shows as an election. */
  private void sync(Effects effects) {
    long startMillis = clock.nowMillis();
    store.sync(effects);
    long millis = clock.nowMillis() - startMillis;
    if (millis >= options.raft().heartbeatMillis()) {
      log.warn("event=sync-slow millis={} entries={}", millis, effects.entries().size());
    }
  }

  private static boolean isIdle(Effects effects) {
    return !effects.needsSync()
        && effects.early().isEmpty()
        && effects.afterSync().isEmpty()
        && effects.committed().isEmpty()
        && effects.reads().isEmpty();
  }

  private void apply(Entry entry) {
    appliedIndex = entry.getIndex();
    if (entry.getKind() == EntryKind.COMMAND) {
      ByteString answer = machine.apply(entry.getIndex(), entry.getData());
      pending.applied(entry.getIndex(), answer);
    }
  }

  private void restore(Snapshot snapshot) {
    machine.restore(snapshot.lastIndex(), snapshot.data());
    appliedIndex = snapshot.lastIndex();
    snapshotIndex = snapshot.lastIndex();
    log.info("event=snapshot-restored index={} bytes={}", appliedIndex, snapshot.data().size());
  }

  /** Takes the state on the loop, and writes the file beside it, so that heartbeats go on. */
  private void takeSnapshot() {
    saving = true;
    Snapshot snapshot =
        new Snapshot(
            appliedIndex,
            core.termAt(appliedIndex),
            core.membershipAt(appliedIndex),
            machine.snapshot());
    saver.execute(() -> save(snapshot));
  }

  private void save(Snapshot snapshot) {
    try {
      store.save(snapshot);
    } catch (RuntimeException failure) {
      loop.submit(
          () -> {
            throw failure;
          });
      return;
    }
    loop.submit(() -> saved(snapshot));
  }

  private void saved(Snapshot snapshot) {
    saving = false;
    store.trim(snapshot.lastIndex());
    core.compact(snapshot, options.keepEntries());
    snapshotIndex = Math.max(snapshotIndex, snapshot.lastIndex());
    log.info("event=snapshot-saved index={} bytes={}", snapshotIndex, snapshot.data().size());
  }

  void close() {
    store.close();
  }
}
