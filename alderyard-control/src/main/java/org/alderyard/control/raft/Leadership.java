package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongUnaryOperator;
import org.alderyard.control.raft.Effects.ConfirmedRead;
import org.alderyard.protocol.generated.raft.AppendReply;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.SnapshotReply;
import org.alderyard.protocol.generated.raft.TimeoutNow;

/**
 * Leader state of a replica for one term: appends entries, advances the commit index and checks for
 * contact with a majority.
 */
final class Leadership {
  /**
   * Minimum interval between heartbeat rounds that only confirm reads; reads that arrive meanwhile
   * share the next round. It delays a read by at most this time.
   */
  static final long MIN_READ_ROUND_INTERVAL_MILLIS = 20;

  private final ReplicaState state;
  private final Replication replication;
  private final Map<Long, Progress> peers = new HashMap<>();
  private final ReadQueue reads = new ReadQueue();
  private final long firstIndexOfTerm;
  private final long sinceMillis;
  // The voter without a disk whose vote was missing in the election.
  private final OptionalLong voterWithoutDisk;
  private long round;
  private long nextHeartbeatMillis;
  private long nextReadRoundMillis;
  private boolean commitAdvanced;
  private long handOverTarget = ReplicaState.NO_REPLICA;
  private long handOverDeadlineMillis;

  /**
   * Starts the term by appending a no-op entry, since the commit index may advance by counting
   * replicas only for entries of the current term.
   *
   * @param voterWithoutDisk the voter without a disk if only half of the voters elected this
   *     leader. It is removed at once, since the remaining voters can commit nothing before.
   */
  Leadership(ReplicaState state, OptionalLong voterWithoutDisk) {
    this.state = state;
    this.voterWithoutDisk = voterWithoutDisk;
    replication = new Replication(state);
    sinceMillis = state.nowMillis();
    updatePeers();
    continueSilenceOfLastLeader();
    firstIndexOfTerm = append(EntryKind.NO_OP, ByteString.EMPTY);
    removeVoterWithoutDisk();
    startHeartbeatRound();
  }

  private void continueSilenceOfLastLeader() {
    Progress progress = peers.get(state.lastLeaderId());
    if (progress != null) {
      progress.continueSilence(state.lastLeaderHeardMillis(), state.hasLastLeaderEnded());
    }
  }

  /**
   * Records that the process of a replica has ended. One that this leader has not heard of may only
   * be slower to start.
   */
  void recordEndedProcess(long replicaId) {
    Progress progress = peers.get(replicaId);
    boolean hasRun =
        progress != null && (progress.hasReplied() || replicaId == state.lastLeaderId());
    if (hasRun) {
      progress.recordEndedProcess();
    }
  }

  /** Returns the time since the election of this leader, in milliseconds. */
  long leadingMillis() {
    return state.nowMillis() - sinceMillis;
  }

  /** Returns whether the process of a replica has ended and has not replied since. */
  boolean hasEnded(long replicaId) {
    Progress progress = peers.get(replicaId);
    return progress != null && progress.hasEnded();
  }

  private void removeVoterWithoutDisk() {
    Membership membership = state.log.membership();
    if (state.log.isMembershipCommitted()
        && voterWithoutDisk.stream().anyMatch(membership::isVoter)) {
      append(
          EntryKind.MEMBERSHIP,
          membership.without(voterWithoutDisk.getAsLong()).toMemberList().toByteString());
    }
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
      updatePeers();
    }
    return index;
  }

  private void updatePeers() {
    Set<Long> replicaIds = new TreeSet<>(state.log.membership().replicaIds());
    if (!state.log.isMembershipCommitted()) {
      replicaIds.addAll(state.log.previousMembership().replicaIds());
    }
    peers.keySet().retainAll(replicaIds);
    for (long replicaId : replicaIds) {
      if (replicaId != state.self) {
        peers.computeIfAbsent(
            replicaId, id -> new Progress(state.log.lastIndex() + 1, state.nowMillis()));
      }
    }
  }

  void tick() {
    if (handOverTarget != ReplicaState.NO_REPLICA && state.nowMillis() >= handOverDeadlineMillis) {
      handOverTarget = ReplicaState.NO_REPLICA;
    }
    if (state.nowMillis() >= nextHeartbeatMillis) {
      startHeartbeatRound();
    }
  }

  /**
   * Returns the time of the next heartbeat, of the next round for reads, of the end of a handover
   * or of the loss of contact with a majority, whichever is first.
   */
  long nextTickMillis() {
    long contactEndMillis =
        quorumValue(this::lastContactMillis) + state.options.electionTimeoutMaxMillis();
    long nextMillis = Math.min(nextHeartbeatMillis, contactEndMillis);
    if (reads.hasNewReads()) {
      nextMillis = Math.min(nextMillis, nextReadRoundMillis);
    }
    return isHandingOver() ? Math.min(nextMillis, handOverDeadlineMillis) : nextMillis;
  }

  private long lastContactMillis(long replicaId) {
    return replicaId == state.self ? state.nowMillis() : peers.get(replicaId).lastContactMillis();
  }

  /**
   * Starts a heartbeat round by sending a message to every replica. The replies confirm the reads
   * assigned to this round.
   */
  private void startHeartbeatRound() {
    round++;
    reads.assignRound(round, Math.max(state.log.commitIndex(), firstIndexOfTerm));
    nextHeartbeatMillis = state.nowMillis() + state.options.heartbeatMillis();
    peers.forEach((peer, progress) -> replication.sendHeartbeat(peer, progress, round));
    commitAdvanced = false;
  }

  /**
   * Sends what has changed since the last call: new reads, a higher commit index, new entries.
   * Reads that follow a round of others too soon are sent by a later call.
   */
  void flush() {
    if (reads.hasNewReads() && state.nowMillis() >= nextReadRoundMillis) {
      nextReadRoundMillis = state.nowMillis() + MIN_READ_ROUND_INTERVAL_MILLIS;
      startHeartbeatRound();
      return;
    }
    boolean sendCommitIndex = commitAdvanced;
    commitAdvanced = false;
    peers.forEach(
        (peer, progress) -> replication.sendEntries(peer, progress, round, sendCommitIndex));
  }

  /**
   * Returns whether a majority replied within the maximum election timeout. A leader without such
   * contact steps down.
   *
   * <p>Otherwise a partitioned leader would keep refusing or delaying its callers while a new
   * leader serves the others.
   */
  boolean hasQuorumContact() {
    return isRecent(quorumValue(this::lastContactMillis));
  }

  private boolean isRecent(long contactMillis) {
    return state.nowMillis() - contactMillis < state.options.electionTimeoutMaxMillis();
  }

  void onAppendReply(RaftMessage message) {
    Progress progress = peers.get(message.getFrom());
    if (progress == null) {
      return;
    }
    AppendReply reply = message.getAppendReply();
    progress.recordReply(state.nowMillis(), reply.getRound());
    if (reply.getSuccess()) {
      progress.recordMatch(reply.getMatchIndex());
      advanceCommit();
      sendTimeoutNowIfCaughtUp();
    } else {
      progress.recordRejection(reply.getRejectedIndex(), replication.lastPossibleMatch(reply));
    }
  }

  void onSnapshotReply(RaftMessage message) {
    Progress progress = peers.get(message.getFrom());
    if (progress == null) {
      return;
    }
    SnapshotReply reply = message.getSnapshotReply();
    progress.recordReply(state.nowMillis(), reply.getRound());
    replication.onSnapshotReply(message.getFrom(), progress, reply, round);
    advanceCommit();
  }

  /**
   * Advances the commit index to the last entry that a majority has synced, if that entry is of the
   * current term.
   *
   * <p>An entry of an earlier term is not committed by counting replicas, since another leader
   * could still replace it. It is committed along with a later entry of the current term.
   */
  void advanceCommit() {
    long index = quorumValue(this::syncedIndex);
    if (index <= state.log.commitIndex() || state.log.termAt(index) != state.term()) {
      return;
    }
    boolean changesMembership = !state.log.isMembershipCommitted();
    state.log.commitTo(index);
    commitAdvanced = true;
    if (changesMembership && state.log.isMembershipCommitted()) {
      updatePeers();
      removeVoterWithoutDisk();
      advanceCommit();
    }
  }

  /**
   * Returns the largest value that a quorum has reached. While a membership change is not
   * committed, a quorum of the members before it is needed too: half of them may elect a leader
   * later, which would otherwise miss the change and all entries after it.
   */
  private long quorumValue(LongUnaryOperator valueOf) {
    Membership newest = state.log.membership();
    if (state.log.areVotersCommitted()) {
      return quorumValueOf(newest, valueOf);
    }
    return Math.min(
        newest.quorumValue(valueOf), quorumValueOf(state.log.previousMembership(), valueOf));
  }

  /** Half of an even number of voters is a quorum if the election counted a lost voter. */
  private long quorumValueOf(Membership members, LongUnaryOperator valueOf) {
    return members.quorumValue(
        id -> members.isEven() && lacksDisk(id) ? Long.MAX_VALUE : valueOf.applyAsLong(id));
  }

  private boolean lacksDisk(long replicaId) {
    return voterWithoutDisk.isPresent() && voterWithoutDisk.getAsLong() == replicaId;
  }

  private long syncedIndex(long replicaId) {
    return replicaId == state.self ? state.log.storedIndex() : matchIndex(replicaId);
  }

  void requestRead(long readId) {
    reads.add(readId);
  }

  List<ConfirmedRead> takeConfirmedReads() {
    return reads.takeConfirmed(
        quorumValue(id -> id == state.self ? round : peers.get(id).repliedRound()));
  }

  List<Long> takeUnconfirmedReads() {
    return reads.takeAll();
  }

  /**
   * Returns whether an entry of the current term is committed, which makes the commit index exact.
   */
  boolean hasCommittedInTerm() {
    return state.log.commitIndex() >= firstIndexOfTerm;
  }

  /**
   * Returns the time in milliseconds since the last contact with a replica, of this leader or, for
   * the leader before it, as its follower; 0 for an unknown replica.
   */
  long unresponsiveMillis(long replicaId) {
    Progress progress = peers.get(replicaId);
    return progress == null
        ? 0
        : progress.silentMillis(state.nowMillis(), state.options.electionTimeoutMinMillis());
  }

  boolean hasCaughtUp(long replicaId) {
    Progress progress = peers.get(replicaId);
    return progress != null
        && progress.hasReplied()
        && isRecent(progress.lastContactMillis())
        && state.log.lastIndex() - progress.matchIndex() <= state.options.maxCatchUpGap();
  }

  /**
   * Returns the highest index up to which a replica is known to match the log; 0 for an unknown
   * replica.
   */
  long matchIndex(long replicaId) {
    return peers.containsKey(replicaId) ? peers.get(replicaId).matchIndex() : 0;
  }

  boolean isHandingOver() {
    return handOverTarget != ReplicaState.NO_REPLICA;
  }

  /**
   * Stops accepting proposals and, once the target holds the whole log, requests it to start an
   * election immediately.
   */
  void handOver(long target) {
    handOverTarget = target;
    handOverDeadlineMillis = state.nowMillis() + state.options.electionTimeoutMaxMillis();
    sendTimeoutNowIfCaughtUp();
  }

  private void sendTimeoutNowIfCaughtUp() {
    Progress progress = peers.get(handOverTarget);
    if (progress != null && progress.matchIndex() == state.log.lastIndex()) {
      state.sendBeforeSync(
          state.message(handOverTarget).setTimeoutNow(TimeoutNow.getDefaultInstance()));
    }
  }
}
