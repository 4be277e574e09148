package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.List;
import org.alderyard.protocol.generated.raft.AppendReply;
import org.alderyard.protocol.generated.raft.AppendRequest;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.SnapshotChunk;
import org.alderyard.protocol.generated.raft.SnapshotReply;

/** Sends entries, heartbeats and snapshots to one replica at a time, by its progress. */
final class Replication {
  private final ReplicaState state;

  Replication(ReplicaState state) {
    this.state = state;
  }

  /**
   * Speaks to a replica even when there is nothing new; a lost message is made up for here.
   *
   * <p>This is also the back-off: a replica that doesn't answer costs one message a heartbeat, and
   * that is empty until it answers.
   */
  void beat(long peer, Progress progress, long round) {
    progress.allowProbe();
    if (progress.sending().isPresent()) {
      sendChunk(peer, progress, round);
      return;
    }
    if (!feedOnce(peer, progress, round, isSilent(progress))) {
      sendAppend(peer, progress, List.of(), round);
    }
  }

  private boolean isSilent(Progress progress) {
    long silentMillis = state.nowMillis() - progress.heardMillis();
    return progress.probing() && silentMillis > 2 * state.options.heartbeatMillis();
  }

  /** Sends what a replica lacks as far as its window allows. */
  void feed(long peer, Progress progress, long round, boolean speak) {
    boolean sent = false;
    while (feedOnce(peer, progress, round, false)) {
      sent = true;
    }
    if (speak && !sent && !progress.probing()) {
      sendAppend(peer, progress, List.of(), round);
    }
  }

  private boolean feedOnce(long peer, Progress progress, long round, boolean silent) {
    if (silent || !progress.maySend(state.options.maxInflight())) {
      return false;
    }
    if (!state.log.covers(progress.nextIndex() - 1)) {
      progress.startSnapshot(state.log.snapshot());
      sendChunk(peer, progress, round);
      return true;
    }
    List<Entry> entries = state.log.from(progress.nextIndex(), state.options.maxBatchBytes());
    if (entries.isEmpty()) {
      return false;
    }
    sendAppend(peer, progress, entries, round);
    progress.sent(entries.get(entries.size() - 1).getIndex());
    return true;
  }

  private void sendAppend(long peer, Progress progress, List<Entry> entries, long round) {
    // Before a snapshot is due the place after the start of the log stands in for the true one.
    long prevIndex =
        state.log.covers(progress.nextIndex() - 1)
            ? progress.nextIndex() - 1
            : state.log.commitIndex();
    state.sendEarly(
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

  private void sendChunk(long peer, Progress progress, long round) {
    Snapshot snapshot = progress.sending().orElseThrow();
    int from = Math.toIntExact(Math.min(progress.sentBytes(), snapshot.data().size()));
    int until = Math.min(from + state.options.snapshotChunkBytes(), snapshot.data().size());
    ByteString data = snapshot.data().substring(from, until);
    state.sendEarly(
        state
            .message(peer)
            .setSnapshotChunk(
                SnapshotChunk.newBuilder()
                    .setLastIndex(snapshot.lastIndex())
                    .setLastTerm(snapshot.lastTerm())
                    .setMembers(snapshot.membership().toList())
                    .setTotalBytes(snapshot.data().size())
                    .setOffsetBytes(from)
                    .setData(data)
                    .setRound(round)));
  }

  void onSnapshotReply(long peer, Progress progress, SnapshotReply reply, long round) {
    if (reply.getDone()) {
      progress.matched(reply.getLastIndex());
      return;
    }
    boolean current =
        progress
            .sending()
            .map(Snapshot::lastIndex)
            .filter(i -> i == reply.getLastIndex())
            .isPresent();
    if (current && reply.getOffsetBytes() != progress.sentBytes()) {
      progress.expectsOffset(reply.getOffsetBytes());
      sendChunk(peer, progress, round);
    }
  }

  /** Returns the last place at or before the follower's hint where the logs may agree. */
  long agreement(AppendReply reply) {
    long index = Math.min(reply.getHintIndex(), state.log.lastIndex());
    while (state.log.covers(index) && index > 0 && state.log.termAt(index) > reply.getHintTerm()) {
      index--;
    }
    return index;
  }
}
