package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.alderyard.protocol.generated.raft.SnapshotChunk;

/** Puts the chunks of a snapshot together; a chunk out of order is dropped and asked for again. */
final class SnapshotReceiver {
  private long lastIndex;
  private long lastTerm;
  private ByteString held = ByteString.EMPTY;

  /** Takes a chunk; the result is the whole snapshot once the last chunk came. */
  Optional<Snapshot> receive(SnapshotChunk chunk) {
    if (chunk.getLastIndex() != lastIndex || chunk.getLastTerm() != lastTerm) {
      lastIndex = chunk.getLastIndex();
      lastTerm = chunk.getLastTerm();
      held = ByteString.EMPTY;
    }
    if (chunk.getOffsetBytes() == held.size()) {
      held = held.concat(chunk.getData());
    }
    if (held.size() < chunk.getTotalBytes()) {
      return Optional.empty();
    }
    Snapshot whole = new Snapshot(lastIndex, lastTerm, new Membership(chunk.getMembers()), held);
    reset();
    return Optional.of(whole);
  }

  long expectedOffset() {
    return held.size();
  }

  void reset() {
    lastIndex = 0;
    lastTerm = 0;
    held = ByteString.EMPTY;
  }
}
