package org.alderyard.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.StoredBatch;

/** The log as a row of segment files; each batch is one frame and one sync. */
final class SegmentedLog implements AutoCloseable {
  private static final String PREFIX = "log-";
  private static final String SUFFIX = ".seg";
  private static final int DIGITS = 12;

  private final DataFolder folder;
  private final SyncedFile.Opener opener;
  private final long maxSegmentBytes;
  private final List<Segment> closed = new ArrayList<>();
  private long sequence;
  private Path path;
  private SyncedFile file;
  private long sizeBytes;
  private long lastIndex;

  SegmentedLog(DataFolder folder, SyncedFile.Opener opener, long maxSegmentBytes) {
    this.folder = folder;
    this.opener = opener;
    this.maxSegmentBytes = maxSegmentBytes;
  }

  /** Replays what is stored and starts a new segment. */
  Recovered recover(Snapshot snapshot) {
    SegmentReader reader = new SegmentReader();
    List<Path> files =
        folder.files().stream()
            .filter(entry -> entry.getFileName().toString().startsWith(PREFIX))
            .toList();
    for (int i = 0; i < files.size(); i++) {
      lastIndex = reader.replay(files.get(i), i == files.size() - 1);
      closed.add(new Segment(files.get(i), lastIndex));
      sequence = sequenceOf(files.get(i));
    }
    Recovered recovered = reader.over(snapshot, folder.path());
    startSegment(recovered.hardState());
    if (recovered.entries().isEmpty() && snapshot.lastIndex() > 0) {
      // What is stored may end before the snapshot, or be of another history; the next entry must
      // not be read as its continuation.
      append(StoreBatches.reset(snapshot));
    }
    return recovered;
  }

  private static long sequenceOf(Path file) {
    String name = file.getFileName().toString();
    try {
      return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
    } catch (NumberFormatException | IndexOutOfBoundsException foreign) {
      throw StorageException.refused(file, "not a file of this program; move it elsewhere");
    }
  }

  /** Each segment begins with the term and vote, so that older ones may be removed. */
  private void startSegment(HardState hardState) {
    sequence++;
    path = folder.path().resolve(NumberedFile.name(PREFIX, sequence, DIGITS, SUFFIX));
    sizeBytes = 0;
    try {
      file = opener.open(path);
      write(StoredBatch.newBuilder().setHardState(hardState).build());
      SyncedFile.syncFolder(folder.path());
    } catch (IOException failure) {
      throw StorageException.failed(path, 0, failure);
    }
  }

  /** Adds a batch; it is synced on return. */
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
    ByteBuffer frame = FrameFormat.frame(batch.toByteArray());
    int frameBytes = frame.remaining();
    file.append(frame);
    file.sync();
    sizeBytes += frameBytes;
  }

  /** Starts a new segment once the current one is full. */
  void roll(HardState hardState) {
    if (sizeBytes < maxSegmentBytes) {
      return;
    }
    close();
    closed.add(new Segment(path, lastIndex));
    startSegment(hardState);
  }

  /**
   * Removes the segments that end before the snapshot.
   *
   * <p>They go oldest first: after a crash in between, what is left is still one row.
   */
  void trim(long snapshotIndex) {
    while (!closed.isEmpty() && closed.get(0).lastIndex <= snapshotIndex) {
      DataFolder.delete(closed.remove(0).path);
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
