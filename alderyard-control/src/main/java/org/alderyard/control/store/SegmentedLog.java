package org.alderyard.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.StoredBatch;

/** Log stored in a sequence of segment files. Each batch is written as one frame with one sync. */
final class SegmentedLog implements AutoCloseable {
  private static final String PREFIX = "log-";
  private static final String SUFFIX = ".seg";
  private static final int DIGITS = 12;

  private final DataFolder folder;
  private final Disk disk;
  private final long maxSegmentBytes;
  private final List<Segment> closedSegments = new ArrayList<>();
  private long segmentNumber;
  private Path path;
  private SyncedFile file;
  private long sizeBytes;
  private long lastIndex;

  SegmentedLog(DataFolder folder, Disk disk, long maxSegmentBytes) {
    this.folder = folder;
    this.disk = disk;
    this.maxSegmentBytes = maxSegmentBytes;
  }

  /** Replays the stored segments and starts a new segment. */
  RecoveredState recover(Snapshot snapshot) {
    SegmentReader reader = new SegmentReader(disk, snapshot.lastIndex());
    List<Path> files =
        folder.listFiles().stream()
            .filter(entry -> entry.getFileName().toString().startsWith(PREFIX))
            .toList();
    for (int i = 0; i < files.size(); i++) {
      lastIndex = reader.replay(files.get(i), i == files.size() - 1);
      closedSegments.add(new Segment(files.get(i), lastIndex));
      segmentNumber = segmentNumberOf(files.get(i));
    }
    RecoveredState recovered = reader.stateAfter(snapshot, folder.path());
    startSegment(recovered.hardState());
    if (recovered.entries().isEmpty() && snapshot.lastIndex() > 0) {
      // The stored entries may end before the snapshot or belong to another history. The reset
      // prevents the next entry from being read as their continuation.
      append(StoreBatches.reset(snapshot));
    }
    return recovered;
  }

  private static long segmentNumberOf(Path file) {
    String name = file.getFileName().toString();
    try {
      return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
    } catch (NumberFormatException | IndexOutOfBoundsException failure) {
      throw StorageException.refused(file, "unexpected file in the data folder; move it elsewhere");
    }
  }

  /** Starts a segment with the current term and vote, so that older segments can be deleted. */
  private void startSegment(HardState hardState) {
    segmentNumber++;
    path = folder.path().resolve(NumberedFileName.format(PREFIX, segmentNumber, DIGITS, SUFFIX));
    sizeBytes = 0;
    try {
      folder.writeRetry().run(() -> file = disk.open(path), () -> {});
      write(StoredBatch.newBuilder().setHardState(hardState).build());
      disk.syncFolder(folder.path());
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  /** Appends a batch, which is synced when this method returns. */
  void append(StoredBatch batch) {
    try {
      write(batch);
    } catch (IOException failure) {
      throw StorageException.failed(path, sizeBytes, failure);
    }
    if (batch.hasReset()) {
      lastIndex = batch.getReset().getLastIndex();
    }
    if (batch.getEntriesCount() > 0) {
      lastIndex = batch.getEntries(batch.getEntriesCount() - 1).getIndex();
    }
  }

  private void write(StoredBatch batch) throws IOException {
    ByteBuffer frame = FrameFormat.encode(batch.toByteArray());
    int frameBytes = frame.remaining();
    folder.writeRetry().run(() -> file.append(frame.duplicate()), this::removeRefusedWrite);
    file.sync();
    sizeBytes += frameBytes;
  }

  private void removeRefusedWrite() throws IOException {
    file.close();
    disk.truncate(path, sizeBytes);
    file = disk.open(path);
  }

  /** Starts a new segment if the current segment is full. */
  void rollIfFull(HardState hardState) {
    if (sizeBytes < maxSegmentBytes) {
      return;
    }
    close();
    closedSegments.add(new Segment(path, lastIndex));
    startSegment(hardState);
  }

  /**
   * Deletes the closed segments whose entries are all covered by the snapshot, the oldest ones
   * first. The deletions are not synced; see {@link SegmentReader}.
   */
  void trim(long snapshotIndex) {
    while (!closedSegments.isEmpty() && closedSegments.get(0).lastIndex <= snapshotIndex) {
      folder.delete(closedSegments.remove(0).path);
    }
  }

  @Override
  public void close() {
    try {
      file.close();
    } catch (IOException failure) {
      throw StorageException.failed(path, sizeBytes, failure);
    }
  }

  private record Segment(Path path, long lastIndex) {}
}
