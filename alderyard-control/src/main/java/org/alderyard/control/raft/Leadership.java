package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.alderyard.control.raft.Effects.ConfirmedRead;
import org.alderyard.protocol.generated.raft.AppendReply;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.SnapshotReply;
import org.alderyard.protocol.generated.raft.TimeoutNow;

/** What a leader does in its term: orders entries, counts replies, and watches its majority. */
final class Leadership {
  private final ReplicaState state;
  private final Replication replication;
  private final Map<Long, Progress> peers = new HashMap<>();
  private final ReadQueue reads = new ReadQueue();
  private final long firstIndex;
  private long round;
  private long nextBeatMillis;
  private boolean commitIsNews;
  private long handOverTarget = ReplicaState.NOBODY;
  private long handOverDeadlineMillis;

  /** Begins the term with an entry of its own: only such an entry may be committed by counting. */
  Leadership(ReplicaState state) {
    this.state = state;
    replication = new Replication(state);
    followMembership();
    firstIndex = append(EntryKind.NO_OP, ByteString.EMPTY);
    beat();
  }

  long append(EntryKind kind, ByteString data) {
    long index = state.log.lastIndex() + 1;
    state.log.append(
        Entry.newBuilder()
            .setTerm(state.term())
            .setIndex(index)
            .setKind(kind)
            .setData(data)
            .build());
    if (kind == EntryKind.MEMBERSHIP) {
      followMembership();
    }
    return index;
  }

  private void followMembership() {
    Membership membership = state.log.membership();
    peers.keySet().removeIf(replicaId -> membership.member(replicaId).isEmpty());
    for (long replicaId : membership.replicaIds()) {
      if (replicaId != state.self) {
        peers.computeIfAbsent(
            replicaId, id -> new Progress(state.log.lastIndex() + 1, state.nowMillis()));
      }
    }
  }

  void tick() {
    if (handOverTarget != ReplicaState.NOBODY && state.nowMillis() >= handOverDeadlineMillis) {
      handOverTarget = ReplicaState.NOBODY;
    }
    if (state.nowMillis() >= nextBeatMillis) {
      beat();
    }
  }

  /** Starts a round: every replica is spoken to, and every reply counts for the waiting reads. */
  private void beat() {
    round++;
    reads.beginRound(round, Math.max(state.log.commitIndex(), firstIndex));
    nextBeatMillis = state.nowMillis() + state.options.heartbeatMillis();
    peers.forEach((peer, progress) -> replication.beat(peer, progress, round));
    commitIsNews = false;
  }

  /** Sends what came up since the last call: reads, a higher commit index, new entries. */
  void flush() {
    if (reads.hasArrived()) {
      beat();
      return;
    }
    boolean speak = commitIsNews;
    commitIsNews = false;
    peers.forEach((peer, progress) -> replication.feed(peer, progress, round, speak));
  }

  /**
   * Returns whether a majority was heard lately.
   *
   * <p>Guards against a leader that is cut off and would go on refusing or delaying its callers
   * while a new one serves the others: it steps down within an election timeout.
   */
  boolean hearsQuorum() {
    return state.log.membership().isQuorum(this::isHeard);
  }

  private boolean isHeard(long replicaId) {
    if (replicaId == state.self) {
      return true;
    }
    long silentMillis = state.nowMillis() - peers.get(replicaId).heardMillis();
    return silentMillis < state.options.electionTimeoutMaxMillis();
  }

  void onAppendReply(RaftMessage message) {
    Progress progress = peers.get(message.getFrom());
    if (progress == null) {
      return;
    }
    AppendReply reply = message.getAppendReply();
    progress.heard(state.nowMillis(), reply.getRound());
    if (reply.getSuccess()) {
      progress.matched(reply.getMatchIndex());
      advanceCommit();
      continueHandOver();
    } else {
      progress.rejected(reply.getRejectedIndex(), replication.agreement(reply));
    }
  }

  void onSnapshotReply(RaftMessage message) {
    Progress progress = peers.get(message.getFrom());
    if (progress == null) {
      return;
    }
    SnapshotReply reply = message.getSnapshotReply();
    progress.heard(state.nowMillis(), reply.getRound());
    replication.onSnapshotReply(message.getFrom(), progress, reply, round);
    advanceCommit();
  }

  /**
   * Commits what a majority has synced, if it is of the leader's own term.
   *
   * <p>Guards against counting replicas for an entry of an earlier term: another leader could still
   * replace it. It is committed with the first entry of this term after it.
   */
  void advanceCommit() {
    long index = state.log.membership().quorumValue(this::syncedIndex);
    if (index > state.log.commitIndex() && state.log.termAt(index) == state.term()) {
      state.log.commitTo(index);
      commitIsNews = true;
    }
  }

  private long syncedIndex(long replicaId) {
    return replicaId == state.self ? state.log.storedIndex() : peers.get(replicaId).matchIndex();
  }

  void read(long readId) {
    reads.add(readId);
  }

  List<ConfirmedRead> confirmedReads() {
    return reads.confirm(
        state.log.membership().quorumValue(id -> id == state.self ? round : peers.get(id).round()));
  }

  List<Long> abandonReads() {
    return reads.drain();
  }

  /** Returns whether an entry of this term is committed, so that the commit index is exact. */
  boolean isEstablished() {
    return state.log.commitIndex() >= firstIndex;
  }

  /** Returns for how long a replica was not heard. */
  long silentMillis(long replicaId) {
    Progress progress = peers.get(replicaId);
    return progress == null ? 0 : state.nowMillis() - progress.heardMillis();
  }

  boolean hasCaughtUp(long replicaId) {
    Progress progress = peers.get(replicaId);
    return progress != null
        && isHeard(replicaId)
        && state.log.lastIndex() - progress.matchIndex() <= state.options.maxCatchUpGap();
  }

  /** Returns up to where a replica is known to hold the log. */
  long matchIndex(long replicaId) {
    return peers.containsKey(replicaId) ? peers.get(replicaId).matchIndex() : 0;
  }

  boolean isHandingOver() {
    return handOverTarget != ReplicaState.NOBODY;
  }

  /** Stops taking proposals until the target holds the whole log, then lets it stand. */
  void handOver(long target) {
    handOverTarget = target;
    handOverDeadlineMillis = state.nowMillis() + state.options.electionTimeoutMaxMillis();
    continueHandOver();
  }

  private void continueHandOver() {
    Progress progress = peers.get(handOverTarget);
    if (progress != null && progress.matchIndex() == state.log.lastIndex()) {
      state.sendEarly(state.message(handOverTarget).setTimeoutNow(TimeoutNow.getDefaultInstance()));
    }
  }
}
