package org.alderyard.control.store;

import org.alderyard.control.raft.Effects;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.HardState;

/**
 * The durable side of one replica: what {@link #sync} returned from is on the disk.
 *
 * <p>After a failed write or sync every further call fails. Guards against the retry of a sync: the
 * system may drop the pages that it could not write, so that the next sync succeeds though they
 * never reached the disk.
 */
public final class ReplicaStore implements AutoCloseable {
  private static final long MAX_SEGMENT_BYTES = 8L * 1024 * 1024;

  private final SnapshotFiles snapshots;
  private final SegmentedLog log;
  private final Recovered recovered;
  private HardState hardState;
  // Not null after the first failure.
  private StorageException failure;

  /** Recovers what the folder holds; the founders count until a snapshot names the members. */
  public ReplicaStore(DataFolder folder, Membership founders) {
    this(folder, founders, SyncedFile::openOnDisk, MAX_SEGMENT_BYTES);
  }

  ReplicaStore(
      DataFolder folder, Membership founders, SyncedFile.Opener opener, long maxSegmentBytes) {
    snapshots = new SnapshotFiles(folder, opener);
    log = new SegmentedLog(folder, opener, maxSegmentBytes);
    recovered = log.recover(snapshots.newest().orElse(Snapshot.founding(founders)));
    hardState = recovered.hardState();
  }

  /** Returns what the folder held. */
  public Recovered recovered() {
    return recovered;
  }

  /** Makes the effects of a step durable, in one sync unless there is a snapshot. */
  public void sync(Effects effects) {
    if (!effects.needsSync()) {
      return;
    }
    guarded(
        () -> {
          effects.snapshot().ifPresent(snapshots::save);
          log.append(StoreBatches.of(effects));
          hardState = effects.hardState().orElse(hardState);
          effects.snapshot().ifPresent(snapshot -> log.trim(snapshot.lastIndex()));
          log.roll(hardState);
        });
  }

  /** Stores a snapshot of applied entries; may run beside {@link #sync}. */
  public void save(Snapshot snapshot) {
    snapshots.save(snapshot);
  }

  /** Removes the segments that a saved snapshot covers. */
  public void trim(long snapshotIndex) {
    guarded(() -> log.trim(snapshotIndex));
  }

  private void guarded(Runnable action) {
    if (failure != null) {
      throw failure;
    }
    try {
      action.run();
    } catch (StorageException first) {
      failure = first;
      throw first;
    }
  }

  @Override
  public void close() {
    log.close();
  }
}
