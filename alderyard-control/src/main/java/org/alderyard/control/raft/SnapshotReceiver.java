package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.alderyard.protocol.generated.raft.SnapshotChunk;

/**
 * Reassembles a snapshot from its chunks. A chunk whose offset is not the expected one is dropped,
 * and the sender resends from the expected offset.
 */
final class SnapshotReceiver {
  private long lastIndex;
  private long lastTerm;
  private ByteString buffer = ByteString.EMPTY;

  /** Adds a chunk. Returns the complete snapshot after the last chunk, otherwise empty. */
  Optional<Snapshot> receive(SnapshotChunk chunk) {
    if (chunk.getLastIndex() != lastIndex || chunk.getLastTerm() != lastTerm) {
      lastIndex = chunk.getLastIndex();
      lastTerm = chunk.getLastTerm();
      buffer = ByteString.EMPTY;
    }
    if (chunk.getOffsetBytes() == buffer.size()) {
      buffer = buffer.concat(chunk.getData());
    }
    if (buffer.size() < chunk.getTotalBytes()) {
      return Optional.empty();
    }
    Snapshot snapshot =
        new Snapshot(lastIndex, lastTerm, new Membership(chunk.getMembers()), buffer);
    reset();
    return Optional.of(snapshot);
  }

  long expectedOffset() {
    return buffer.size();
  }

  void reset() {
    lastIndex = 0;
    lastTerm = 0;
    buffer = ByteString.EMPTY;
  }
}
