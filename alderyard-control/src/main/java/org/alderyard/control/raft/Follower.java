package org.alderyard.control.raft;

import java.util.Optional;
import org.alderyard.protocol.generated.raft.AppendReply;
import org.alderyard.protocol.generated.raft.AppendRequest;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.SnapshotChunk;
import org.alderyard.protocol.generated.raft.SnapshotReply;

/**
 * Stores the entries and snapshots that the leader of the term sends, and replies with the index up
 * to which the logs match.
 */
final class Follower {
  private final ReplicaState state;
  private final SnapshotReceiver receiver = new SnapshotReceiver();
  // Non-null from the last chunk until takeReceivedSnapshot() returns the snapshot.
  private Snapshot receivedSnapshot;

  Follower(ReplicaState state) {
    this.state = state;
  }

  void onAppend(RaftMessage message) {
    AppendRequest request = message.getAppendRequest();
    if (request.getPrevIndex() < state.log.commitIndex() && !matchesPrevious(request)) {
      // Committed entries are identical on all replicas, so the reply needs no comparison.
      reply(message, successReply(state.log.commitIndex(), request.getRound()));
      return;
    }
    if (!state.log.matches(request.getPrevIndex(), request.getPrevTerm())) {
      reply(message, rejectionReply(request));
      return;
    }
    state.log.merge(request.getEntriesList());
    long lastReceivedIndex = request.getPrevIndex() + request.getEntriesCount();
    state.log.commitTo(Math.min(request.getCommitIndex(), lastReceivedIndex));
    reply(message, successReply(lastReceivedIndex, request.getRound()));
  }

  private boolean matchesPrevious(AppendRequest request) {
    return state.log.matches(request.getPrevIndex(), request.getPrevTerm());
  }

  /**
   * Rejects a message of an earlier term; the reply carries the current term.
   *
   * <p>The reply has no round. Rounds count anew in each term, and the sender may lead the current
   * term again, in which a round of its earlier term would confirm reads.
   */
  void rejectStale(RaftMessage message) {
    if (message.hasAppendRequest()) {
      reply(message, AppendReply.newBuilder());
      return;
    }
    state.sendAfterSync(
        state.message(message.getFrom()).setSnapshotReply(SnapshotReply.getDefaultInstance()));
  }

  private static AppendReply.Builder successReply(long matchIndex, long round) {
    return AppendReply.newBuilder().setSuccess(true).setMatchIndex(matchIndex).setRound(round);
  }

  /**
   * Builds a rejection with the last index at which the logs may match, so that the leader can skip
   * whole terms instead of single entries.
   */
  private AppendReply.Builder rejectionReply(AppendRequest request) {
    long hintIndex = Math.min(request.getPrevIndex() - 1, state.log.lastIndex());
    while (hintIndex > state.log.commitIndex()
        && state.log.termAt(hintIndex) > request.getPrevTerm()) {
      hintIndex--;
    }
    return AppendReply.newBuilder()
        .setRejectedIndex(request.getPrevIndex())
        .setHintIndex(hintIndex)
        .setHintTerm(state.log.hasTermAt(hintIndex) ? state.log.termAt(hintIndex) : 0)
        .setRound(request.getRound());
  }

  private void reply(RaftMessage message, AppendReply.Builder reply) {
    state.sendAfterSync(state.message(message.getFrom()).setAppendReply(reply));
  }

  void onSnapshotChunk(RaftMessage message) {
    SnapshotChunk chunk = message.getSnapshotChunk();
    if (state.log.matches(chunk.getLastIndex(), chunk.getLastTerm())) {
      // The log holds the entries and must keep them, since the leader may have counted them.
      state.log.commitTo(chunk.getLastIndex());
    }
    if (chunk.getLastIndex() <= state.log.commitIndex()) {
      receiver.reset();
      replySnapshot(message, chunk, true);
      return;
    }
    Optional<Snapshot> assembled = receiver.receive(chunk);
    if (assembled.isPresent()) {
      receivedSnapshot = assembled.get();
      state.log.restore(receivedSnapshot);
    }
    replySnapshot(message, chunk, assembled.isPresent());
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

  Optional<Snapshot> takeReceivedSnapshot() {
    Optional<Snapshot> result = Optional.ofNullable(receivedSnapshot);
    receivedSnapshot = null;
    return result;
  }
}
