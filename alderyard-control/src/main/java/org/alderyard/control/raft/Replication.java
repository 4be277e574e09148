package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.List;
import org.alderyard.protocol.generated.raft.AppendReply;
import org.alderyard.protocol.generated.raft.AppendRequest;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.SnapshotChunk;
import org.alderyard.protocol.generated.raft.SnapshotReply;

/** Sends entries, heartbeats and snapshots to one replica according to its {@link Progress}. */
final class Replication {
  private final ReplicaState state;

  Replication(ReplicaState state) {
    this.state = state;
  }

  /**
   * Sends a replica its message for a heartbeat round, even without new entries, and repeats a lost
   * probe or snapshot chunk.
   *
   * <p>This is also the backoff for an unresponsive replica: it is sent one message per heartbeat,
   * without entries until it replies.
   */
  void sendHeartbeat(long peer, Progress progress, long round) {
    progress.allowProbeRetry();
    if (progress.pendingSnapshot().isPresent()) {
      sendSnapshotChunk(peer, progress, round);
      return;
    }
    if (!sendNext(peer, progress, round)) {
      sendAppend(peer, progress, List.of(), round);
    }
  }

  private boolean isUnresponsive(Progress progress) {
    return progress.probing()
        && progress.isUnansweredFor(state.nowMillis(), 2 * state.options.heartbeatMillis());
  }

  /**
   * Sends the entries that a replica lacks, up to its in-flight limit. If {@code sendCommitIndex}
   * is set and no entries were sent, an empty append carries the commit index.
   */
  void sendEntries(long peer, Progress progress, long round, boolean sendCommitIndex) {
    boolean sent = false;
    while (sendNext(peer, progress, round)) {
      sent = true;
    }
    if (sendCommitIndex && !sent && !progress.probing()) {
      sendAppend(peer, progress, List.of(), round);
    }
  }

  private boolean sendNext(long peer, Progress progress, long round) {
    if (isUnresponsive(progress) || !progress.canSendEntries(state.options.maxInflight())) {
      return false;
    }
    if (!state.log.hasTermAt(progress.nextIndex() - 1)) {
      progress.startSnapshot(state.log.snapshot());
      sendSnapshotChunk(peer, progress, round);
      return true;
    }
    List<Entry> entries =
        state.log.entriesFrom(progress.nextIndex(), state.options.maxBatchBytes());
    if (entries.isEmpty()) {
      return false;
    }
    sendAppend(peer, progress, entries, round);
    progress.recordSent(entries.get(entries.size() - 1).getIndex());
    return true;
  }

  private void sendAppend(long peer, Progress progress, List<Entry> entries, long round) {
    // If the previous entry was compacted away, the commit index is used instead until a
    // snapshot is sent.
    long prevIndex =
        state.log.hasTermAt(progress.nextIndex() - 1)
            ? progress.nextIndex() - 1
            : state.log.commitIndex();
    progress.recordMessage(state.nowMillis());
    state.sendBeforeSync(
        state
            .message(peer)
            .setAppendRequest(
                AppendRequest.newBuilder()
                    .setPrevIndex(prevIndex)
                    .setPrevTerm(state.log.termAt(prevIndex))
                    .addAllEntries(entries)
                    .setCommitIndex(state.log.commitIndex())
                    .setRound(round)));
  }

  private void sendSnapshotChunk(long peer, Progress progress, long round) {
    Snapshot snapshot = progress.pendingSnapshot().orElseThrow();
    int start = Math.toIntExact(Math.min(progress.snapshotOffsetBytes(), snapshot.data().size()));
    int end = Math.min(start + state.options.snapshotChunkBytes(), snapshot.data().size());
    ByteString data = snapshot.data().substring(start, end);
    progress.recordMessage(state.nowMillis());
    state.sendBeforeSync(
        state
            .message(peer)
            .setSnapshotChunk(
                SnapshotChunk.newBuilder()
                    .setLastIndex(snapshot.lastIndex())
                    .setLastTerm(snapshot.lastTerm())
                    .setMembers(snapshot.membership().toMemberList())
                    .setTotalBytes(snapshot.data().size())
                    .setOffsetBytes(start)
                    .setData(data)
                    .setRound(round)));
  }

  void onSnapshotReply(long peer, Progress progress, SnapshotReply reply, long round) {
    if (reply.getDone()) {
      progress.recordMatch(reply.getLastIndex());
      return;
    }
    boolean isPendingSnapshot =
        progress
            .pendingSnapshot()
            .map(Snapshot::lastIndex)
            .filter(index -> index == reply.getLastIndex())
            .isPresent();
    if (isPendingSnapshot && reply.getOffsetBytes() != progress.snapshotOffsetBytes()) {
      progress.setSnapshotOffset(reply.getOffsetBytes());
      sendSnapshotChunk(peer, progress, round);
    }
  }

  /** Returns the highest index, at most the hint of the follower, at which both logs may match. */
  long lastPossibleMatch(AppendReply reply) {
    long index = Math.min(reply.getHintIndex(), state.log.lastIndex());
    while (state.log.hasTermAt(index)
        && index > 0
        && state.log.termAt(index) > reply.getHintTerm()) {
      index--;
    }
    return index;
  }
}
