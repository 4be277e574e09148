package org.alderyard.control.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.StoredBatch;

/** Recovers the log by replaying the batches of all segments in order. */
final class SegmentReader {
  private final Disk disk;
  private final long snapshotIndex;
  private final List<Entry> entries = new ArrayList<>();
  private HardState hardState = HardState.getDefaultInstance();
  private long tornBytes;
  private long lastIndex;

  SegmentReader(Disk disk, long snapshotIndex) {
    this.disk = disk;
    this.snapshotIndex = snapshotIndex;
  }

  /** Replays a segment and returns the last index so far; only the last segment may be torn. */
  long replay(Path path, boolean last) {
    byte[] bytes = AtomicFile.readBytes(path);
    int position = 0;
    while (position < bytes.length) {
      Optional<byte[]> payload = FrameFormat.decode(bytes, position);
      if (payload.isEmpty()) {
        if (!last || !FrameFormat.isTornTail(bytes, position)) {
          throw StorageException.damaged(path, position, "invalid checksum or length");
        }
        tornBytes = bytes.length - position;
        break;
      }
      applyBatch(parse(path, position, payload.get()), path, position);
      position += FrameFormat.HEADER_BYTES + payload.get().length;
    }
    if (last) {
      syncUpTo(path, position);
    }
    return lastIndex;
  }

  private static StoredBatch parse(Path path, int position, byte[] payload) {
    try {
      return StoredBatch.parseFrom(payload);
    } catch (InvalidProtocolBufferException failure) {
      throw StorageException.damaged(path, position, "the frame is not a valid batch");
    }
  }

  private void applyBatch(StoredBatch batch, Path path, int position) {
    if (batch.hasHardState()) {
      hardState = batch.getHardState();
    }
    if (batch.hasReset()) {
      entries.clear();
      lastIndex = batch.getReset().getLastIndex();
    }
    for (Entry entry : batch.getEntriesList()) {
      boolean first = entries.isEmpty() && lastIndex == 0;
      if (!first && entry.getIndex() > lastIndex + 1) {
        if (entry.getIndex() > snapshotIndex + 1) {
          throw StorageException.damaged(
              path, position, "entry " + entry.getIndex() + " follows entry " + lastIndex);
        }
        // Segments that the snapshot covers are deleted without a sync, so that a power loss may
        // undo only some of the deletions.
        entries.clear();
      }
      while (!entries.isEmpty() && entries.get(entries.size() - 1).getIndex() >= entry.getIndex()) {
        entries.remove(entries.size() - 1);
      }
      entries.add(entry);
      lastIndex = entry.getIndex();
    }
  }

  /**
   * Removes a batch that was truncated by a crash, which was never acknowledged, and syncs those
   * before it: a process that was killed may have written the last one without a sync.
   */
  private void syncUpTo(Path path, int position) {
    try {
      disk.truncate(path, position);
    } catch (IOException failure) {
      throw StorageException.failed(path, position, failure);
    }
  }

  /**
   * Returns the recovered state with the entries after the snapshot.
   *
   * <p>A host may crash after it stored a snapshot from the leader and before it reset the log. The
   * old entries then belong to another history, in which the last entry of the snapshot is missing.
   * These entries were not acknowledged to that leader, and are dropped.
   */
  RecoveredState stateAfter(Snapshot snapshot, Path folder) {
    long snapshotIndex = snapshot.lastIndex();
    boolean sameHistory =
        entries.stream()
            .filter(entry -> entry.getIndex() == snapshotIndex)
            .allMatch(entry -> entry.getTerm() == snapshot.lastTerm());
    List<Entry> remaining =
        sameHistory
            ? entries.stream().filter(entry -> entry.getIndex() > snapshotIndex).toList()
            : List.of();
    if (!remaining.isEmpty() && remaining.get(0).getIndex() != snapshotIndex + 1) {
      throw StorageException.damaged(
          folder,
          0,
          "entries "
              + (snapshotIndex + 1)
              + " to "
              + (remaining.get(0).getIndex() - 1)
              + " are missing");
    }
    return new RecoveredState(hardState, snapshot, remaining, tornBytes);
  }
}
