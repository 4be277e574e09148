package org.alderyard.control.store;

import org.alderyard.control.raft.Effects;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.HardState;

/**
 * Durable state of one replica. Effects are on the disk when {@link #sync} returns.
 *
 * <p>After a failed write or sync, every further sync or trim fails. A sync must not be retried:
 * the operating system may drop the pages that it failed to write, so that the next sync succeeds
 * although these pages never reached the disk.
 */
public final class ReplicaStore implements AutoCloseable {
  private static final long MAX_SEGMENT_BYTES = 4L * 1024 * 1024;

  private final SnapshotFiles snapshots;
  private final SegmentedLog log;
  private final RecoveredState recovered;
  private HardState hardState;
  // Null until the first failure.
  private StorageException failure;

  /** Recovers the state in the folder; without a snapshot, the members are the founders. */
  public ReplicaStore(DataFolder folder, Membership founders) {
    this(folder, founders, Disk.LOCAL, MAX_SEGMENT_BYTES);
  }

  ReplicaStore(DataFolder folder, Membership founders, Disk disk, long maxSegmentBytes) {
    snapshots = new SnapshotFiles(folder, disk);
    log = new SegmentedLog(folder, disk, maxSegmentBytes);
    recovered = log.recover(snapshots.loadNewest().orElse(Snapshot.founding(founders)));
    hardState = recovered.hardState();
  }

  /** Returns the state that the folder contained when this store was created. */
  public RecoveredState recovered() {
    return recovered;
  }

  /** Makes the effects of a step durable, with a single sync unless there is a snapshot. */
  public void sync(Effects effects) {
    if (!effects.needsSync()) {
      return;
    }
    runUnlessFailed(
        () -> {
          effects.snapshot().ifPresent(snapshots::save);
          log.append(StoreBatches.of(effects));
          hardState = effects.hardState().orElse(hardState);
          effects.snapshot().ifPresent(snapshot -> log.trim(snapshot.lastIndex()));
          log.rollIfFull(hardState);
        });
  }

  /** Stores a snapshot of applied entries; may run concurrently with {@link #sync}. */
  public void save(Snapshot snapshot) {
    snapshots.save(snapshot);
  }

  /** Deletes the log segments that are covered by a saved snapshot. */
  public void trim(long snapshotIndex) {
    runUnlessFailed(() -> log.trim(snapshotIndex));
  }

  private void runUnlessFailed(Runnable action) {
    if (failure != null) {
      throw failure;
    }
    try {
      action.run();
    } catch (StorageException firstFailure) {
      failure = firstFailure;
      throw firstFailure;
    }
  }

  @Override
  public void close() {
    log.close();
  }
}
