package org.alderyard.control.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.StoredBatch;

/** Replays the batches of all segments in their order. */
final class SegmentReader {
  private final List<Entry> entries = new ArrayList<>();
  private HardState hardState = HardState.getDefaultInstance();
  private long tornBytes;
  private long lastIndex;

  /** Replays one segment and returns the last index it holds; only the last one may be torn. */
  long replay(Path path, boolean last) {
    byte[] bytes = WholeFile.bytesOf(path);
    int position = 0;
    while (position < bytes.length) {
      Optional<byte[]> payload = FrameFormat.read(bytes, position);
      if (payload.isEmpty()) {
        if (!last || !FrameFormat.isTornTail(bytes, position)) {
          throw StorageException.damaged(path, position, "checksum or length is wrong");
        }
        tornBytes = bytes.length - position;
        cut(path, position);
        break;
      }
      accept(parse(path, position, payload.get()), path, position);
      position += FrameFormat.HEADER_BYTES + payload.get().length;
    }
    return lastIndex;
  }

  private static StoredBatch parse(Path path, int position, byte[] payload) {
    try {
      return StoredBatch.parseFrom(payload);
    } catch (InvalidProtocolBufferException unreadable) {
      throw StorageException.damaged(path, position, "not a batch");
    }
  }

  private void accept(StoredBatch batch, Path path, int position) {
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
        throw StorageException.damaged(
            path, position, "entry " + entry.getIndex() + " follows entry " + lastIndex);
      }
      while (!entries.isEmpty() && entries.get(entries.size() - 1).getIndex() >= entry.getIndex()) {
        entries.remove(entries.size() - 1);
      }
      entries.add(entry);
      lastIndex = entry.getIndex();
    }
  }

  /** Removes the batch that a crash cut short; it was never answered for. */
  private static void cut(Path path, int position) {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
      channel.truncate(position);
      channel.force(true);
    } catch (IOException failure) {
      throw StorageException.failed(path, position, failure);
    }
  }

  /**
   * Returns what is left over the snapshot.
   *
   * <p>A crash may come after a snapshot of the leader was stored and before the log was reset. The
   * old entries are then of another history: they don't hold the snapshot's last entry. They were
   * not acknowledged to that leader, and are dropped.
   */
  Recovered over(Snapshot snapshot, Path folder) {
    long from = snapshot.lastIndex();
    boolean sameHistory =
        entries.stream()
            .filter(entry -> entry.getIndex() == from)
            .allMatch(entry -> entry.getTerm() == snapshot.lastTerm());
    List<Entry> rest =
        sameHistory
            ? entries.stream().filter(entry -> entry.getIndex() > from).toList()
            : List.of();
    if (!rest.isEmpty() && rest.get(0).getIndex() != from + 1) {
      throw StorageException.damaged(
          folder, 0, "entries " + (from + 1) + " to " + (rest.get(0).getIndex() - 1) + " are gone");
    }
    return new Recovered(hardState, snapshot, rest, tornBytes);
  }
}
