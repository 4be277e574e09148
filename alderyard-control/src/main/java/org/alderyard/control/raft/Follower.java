package org.alderyard.control.raft;

import java.util.Optional;
import org.alderyard.protocol.generated.raft.AppendReply;
import org.alderyard.protocol.generated.raft.AppendRequest;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.SnapshotChunk;
import org.alderyard.protocol.generated.raft.SnapshotReply;

/** Takes over what the leader of the term sends, and tells it how far the logs agree. */
final class Follower {
  private final ReplicaState state;
  private final SnapshotReceiver receiver = new SnapshotReceiver();
  // Not null between the last chunk and the call that hands the snapshot out.
  private Snapshot received;

  Follower(ReplicaState state) {
    this.state = state;
  }

  void onAppend(RaftMessage message) {
    AppendRequest request = message.getAppendRequest();
    if (request.getPrevIndex() < state.log.commitIndex() && !isKnown(request)) {
      // Everything committed is equal on all replicas, so the answer needs no comparison.
      reply(message, success(state.log.commitIndex(), request.getRound()));
      return;
    }
    if (!state.log.matches(request.getPrevIndex(), request.getPrevTerm())) {
      reply(message, rejection(request));
      return;
    }
    state.log.merge(request.getEntriesList());
    long lastNew = request.getPrevIndex() + request.getEntriesCount();
    state.log.commitTo(Math.min(request.getCommitIndex(), lastNew));
    reply(message, success(lastNew, request.getRound()));
  }

  private boolean isKnown(AppendRequest request) {
    return state.log.matches(request.getPrevIndex(), request.getPrevTerm());
  }

  /** Answers the leader of an earlier term, which learns the newer one from it. */
  void refuseStale(RaftMessage message) {
    if (message.hasAppendRequest()) {
      AppendRequest request = message.getAppendRequest();
      reply(message, AppendReply.newBuilder().setRound(request.getRound()));
      return;
    }
    state.sendAfterSync(
        state.message(message.getFrom()).setSnapshotReply(SnapshotReply.getDefaultInstance()));
  }

  private static AppendReply.Builder success(long matchIndex, long round) {
    return AppendReply.newBuilder().setSuccess(true).setMatchIndex(matchIndex).setRound(round);
  }

  /** Names the last place where the logs may agree, so the leader skips whole terms at once. */
  private AppendReply.Builder rejection(AppendRequest request) {
    long hint = Math.min(request.getPrevIndex() - 1, state.log.lastIndex());
    while (hint > state.log.commitIndex() && state.log.termAt(hint) > request.getPrevTerm()) {
      hint--;
    }
    return AppendReply.newBuilder()
        .setRejectedIndex(request.getPrevIndex())
        .setHintIndex(hint)
        .setHintTerm(state.log.covers(hint) ? state.log.termAt(hint) : 0)
        .setRound(request.getRound());
  }

  private void reply(RaftMessage message, AppendReply.Builder reply) {
    state.sendAfterSync(state.message(message.getFrom()).setAppendReply(reply));
  }

  void onSnapshotChunk(RaftMessage message) {
    SnapshotChunk chunk = message.getSnapshotChunk();
    if (state.log.matches(chunk.getLastIndex(), chunk.getLastTerm())) {
      // The entries are here already; they must stay, since the leader may count on them.
      state.log.commitTo(chunk.getLastIndex());
    }
    if (chunk.getLastIndex() <= state.log.commitIndex()) {
      receiver.reset();
      replySnapshot(message, chunk, true);
      return;
    }
    Optional<Snapshot> whole = receiver.receive(chunk);
    if (whole.isPresent()) {
      received = whole.get();
      state.log.restore(received);
    }
    replySnapshot(message, chunk, whole.isPresent());
  }

  private void replySnapshot(RaftMessage message, SnapshotChunk chunk, boolean done) {
    state.sendAfterSync(
        state
            .message(message.getFrom())
            .setSnapshotReply(
                SnapshotReply.newBuilder()
                    .setLastIndex(chunk.getLastIndex())
                    .setOffsetBytes(done ? chunk.getTotalBytes() : receiver.expectedOffset())
                    .setDone(done)
                    .setRound(chunk.getRound())));
  }

  Optional<Snapshot> takeReceived() {
    Optional<Snapshot> result = Optional.ofNullable(received);
    received = null;
    return result;
  }
}
