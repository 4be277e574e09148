package org.alderyard.control.raft;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.alderyard.control.raft.Effects.ConfirmedRead;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.VoteReply;

/**
 * One replica of a Raft log as a state machine without I/O.
 *
 * <p>The caller passes in messages, proposals and the time, calls {@link #takeEffects()}, performs
 * the effects in their order and calls {@link #markSynced()}. Between those two calls it must not
 * call any other method that changes the state.
 *
 * <pre>{@code
 * core.receive(message, clock.nowMillis());
 * Effects effects = core.takeEffects();
 * send(effects.beforeSync());
 * store.sync(effects);
 * core.markSynced();
 * send(effects.afterSync());
 * apply(effects.committed());
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class RaftCore {
  private final ReplicaState state;
  private final Election election;
  private final Follower follower;
  private final List<Long> failedReads = new ArrayList<>();
  private Role role = Role.FOLLOWER;
  // Non-null if and only if this replica is the leader.
  private Leadership leadership;

  /**
   * Creates a replica from its synced state.
   *
   * @param self the id of this replica
   * @param options the timing and size limits
   * @param hardState the synced term and vote
   * @param snapshot the last snapshot, or {@link Snapshot#founding}
   * @param entries the entries after the snapshot
   * @param random the source of the election timeouts
   * @param nowMillis the current time in milliseconds
   */
  public RaftCore(
      long self,
      RaftOptions options,
      HardState hardState,
      Snapshot snapshot,
      List<Entry> entries,
      RandomGenerator random,
      long nowMillis) {
    RaftLog log = new RaftLog(snapshot, entries, hardState.getCommittedMembershipIndex());
    state = new ReplicaState(self, options, log, hardState, random, nowMillis);
    election = new Election(state);
    follower = new Follower(state);
  }

  /**
   * Advances the time. Starts campaigns and heartbeats that are due, and steps down without contact
   * with a quorum.
   */
  public void tick(long nowMillis) {
    state.advanceTo(nowMillis);
    if (role == Role.LEADER) {
      tickLeader();
      return;
    }
    if (!state.isElectionDue()) {
      return;
    }
    if (!state.log.isVoter(state.self)) {
      state.restartElectionTimer();
      return;
    }
    campaign();
  }

  /**
   * Advances the time without acting on it, so that a proposal or read that follows is dated
   * correctly between two ticks.
   */
  public void advanceTo(long nowMillis) {
    state.advanceTo(nowMillis);
  }

  /**
   * Returns the time in milliseconds before which {@link #tick(long)} has nothing to do. It changes
   * with each call that changes the state.
   */
  public long nextTickMillis() {
    return role == Role.LEADER ? leadership.nextTickMillis() : state.electionDeadlineMillis();
  }

  private void tickLeader() {
    if (!leadership.hasQuorumContact()) {
      becomeFollower(state.term());
      return;
    }
    leadership.tick();
  }

  private void campaign() {
    role = Role.PRE_CANDIDATE;
    state.clearLeader();
    election.startPreVote();
    if (election.hasWon()) {
      becomeCandidate(false);
    }
  }

  private void becomeCandidate(boolean handOver) {
    role = Role.CANDIDATE;
    election.startElection(handOver);
  }

  private void becomeFollower(long term) {
    if (leadership != null) {
      failedReads.addAll(leadership.takeUnconfirmedReads());
      leadership = null;
    }
    role = Role.FOLLOWER;
    election.resetPreVoteRounds();
    state.clearLeader();
    state.restartElectionTimer();
    if (term > state.term()) {
      state.updateHardState(term, ReplicaState.NO_REPLICA);
    }
  }

  private void becomeLeader() {
    role = Role.LEADER;
    state.recordLeader(state.self);
    leadership = new Leadership(state, election.voterWithoutDisk());
  }

  /**
   * Handles a message. A message for another replica id is dropped, for example one for the
   * previous id of a host whose disk was wiped.
   */
  public void receive(RaftMessage message, long nowMillis) {
    state.advanceTo(nowMillis);
    if (message.getTo() != state.self) {
      return;
    }
    state.recordMessageFrom(message.getFrom());
    boolean voteRequest = message.hasVoteRequest();
    if (voteRequest && election.shouldIgnore(message.getVoteRequest(), role)) {
      return;
    }
    boolean preVote = voteRequest && message.getVoteRequest().getPreVote();
    if (message.getTerm() > state.term() && !preVote) {
      becomeFollower(message.getTerm());
    }
    if (message.getTerm() < state.term()) {
      rejectStale(message);
      return;
    }
    handle(message);
  }

  private void rejectStale(RaftMessage message) {
    if (message.hasVoteRequest()) {
      election.onVoteRequest(message);
    } else if (message.hasAppendRequest() || message.hasSnapshotChunk()) {
      follower.rejectStale(message);
    }
  }

  private void handle(RaftMessage message) {
    switch (message.getBodyCase()) {
      case VOTE_REQUEST -> election.onVoteRequest(message);
      case VOTE_REPLY -> onVoteReply(message);
      case APPEND_REQUEST -> {
        followLeader(message.getFrom());
        follower.onAppend(message);
      }
      case SNAPSHOT_CHUNK -> {
        followLeader(message.getFrom());
        follower.onSnapshotChunk(message);
      }
      case APPEND_REPLY -> {
        if (leadership != null) {
          leadership.onAppendReply(message);
          stepDownIfRemoved();
        }
      }
      case SNAPSHOT_REPLY -> {
        if (leadership != null) {
          leadership.onSnapshotReply(message);
          stepDownIfRemoved();
        }
      }
      case TIMEOUT_NOW -> {
        if (role != Role.LEADER && state.log.isVoter(state.self)) {
          becomeCandidate(true);
        }
      }
      default -> {
        // Ignores a message type that only newer versions know.
      }
    }
  }

  private void followLeader(long leader) {
    if (role == Role.LEADER) {
      throw new IllegalStateException(
          "replicas "
              + state.self
              + " and "
              + leader
              + " are both leaders of term "
              + state.term());
    }
    role = Role.FOLLOWER;
    election.resetPreVoteRounds();
    state.recordLeader(leader);
  }

  private void onVoteReply(RaftMessage message) {
    VoteReply reply = message.getVoteReply();
    Role expectedRole = reply.getPreVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    long candidateTerm = reply.getPreVote() ? state.term() + 1 : state.term();
    if (role != expectedRole || reply.getCandidateTerm() != candidateTerm || !reply.getGranted()) {
      return;
    }
    election.recordVote(message.getFrom());
    advanceElection();
  }

  private void advanceElection() {
    if (!election.hasWon()) {
      return;
    }
    if (role == Role.PRE_CANDIDATE) {
      becomeCandidate(false);
    } else if (role == Role.CANDIDATE) {
      becomeLeader();
    }
  }

  /**
   * Steps down if this replica was removed as a voter. A leader serves until its removal is
   * committed.
   */
  private void stepDownIfRemoved() {
    if (isMembershipCommitted() && !state.log.membership().isVoter(state.self)) {
      leadership.flush();
      becomeFollower(state.term());
    }
  }

  /**
   * Records that a replica has lost its disk, since its host runs another one. Its vote is given up
   * only if the remaining voters could not elect a leader otherwise.
   *
   * @return false if the loss was recorded before
   */
  public boolean recordLostDisk(long replicaId) {
    return election.recordLostDisk(replicaId);
  }

  /**
   * Records that the process of a replica has ended, as its machine refuses connections to it. A
   * follower does not wait for the end of the contact with a leader that has ended.
   */
  public void recordEndedProcess(long replicaId, long nowMillis) {
    state.advanceTo(nowMillis);
    if (leadership != null) {
      leadership.recordEndedProcess(replicaId);
    } else {
      state.recordEndedProcess(replicaId);
    }
  }

  /**
   * Returns whether the process of a replica has ended and has not replied since; false if this
   * replica is not the leader.
   */
  public boolean hasEnded(long replicaId) {
    return leadership != null && leadership.hasEnded(replicaId);
  }

  /**
   * Appends a command to the log.
   *
   * @return the index of the entry, or empty if this replica is not the leader or is handing over
   */
  public OptionalLong propose(ByteString command) {
    if (leadership == null || leadership.isHandingOver()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(leadership.append(EntryKind.COMMAND, command));
  }

  /**
   * Appends a membership change to the log if it is valid; at most one change is in progress at a
   * time.
   */
  public Verdict changeMembership(MembershipChange change) {
    if (leadership == null || leadership.isHandingOver()) {
      return Verdict.NOT_LEADER;
    }
    if (!isMembershipCommitted() || !leadership.hasCommittedInTerm()) {
      return Verdict.CHANGE_IN_PROGRESS;
    }
    MembershipChangeValidator validator =
        new MembershipChangeValidator(membership(), leadership::hasCaughtUp);
    Verdict verdict = validator.validate(change);
    if (verdict == Verdict.ACCEPTED) {
      leadership.append(
          EntryKind.MEMBERSHIP, validator.apply(change).toMemberList().toByteString());
    }
    return verdict;
  }

  /**
   * Requests a read that a quorum confirms.
   *
   * @param readId the id under which the read is returned
   * @return whether this replica is the leader; if so, the read is returned in {@link
   *     Effects#reads()} or {@link Effects#failedReads()}
   */
  public boolean requestRead(long readId) {
    if (leadership == null) {
      return false;
    }
    leadership.requestRead(readId);
    return true;
  }

  /**
   * Starts to hand over the leadership to another voter. Returns false if this replica is not the
   * leader or the target is not another voter.
   */
  public boolean handOver(long target) {
    boolean accepted = leadership != null && target != state.self && membership().isVoter(target);
    if (accepted) {
      leadership.handOver(target);
    }
    return accepted;
  }

  /** Returns and clears the effects of all steps since the last call. */
  public Effects takeEffects() {
    List<ConfirmedRead> reads = List.of();
    if (leadership != null) {
      leadership.flush();
      reads = leadership.takeConfirmedReads();
    }
    state.recordCommittedMembership();
    Optional<HardState> hardState =
        state.hasUnsyncedHardState() ? Optional.of(state.hardState()) : Optional.empty();
    List<Long> failed = List.copyOf(failedReads);
    failedReads.clear();
    return new Effects(
        state.takeBeforeSync(),
        hardState,
        follower.takeReceivedSnapshot(),
        state.log.unstoredEntries(),
        state.takeAfterSync(),
        state.log.takeCommitted(),
        reads,
        failed);
  }

  /** Reports that all effects of the last {@link #takeEffects()} are synced. */
  public void markSynced() {
    state.markHardStateStored();
    state.log.markStored();
    if (role == Role.CANDIDATE) {
      election.recordVote(state.self);
      advanceElection();
    }
    if (leadership != null) {
      leadership.advanceCommit();
      stepDownIfRemoved();
    }
  }

  /** Compacts the log up to a snapshot of applied entries that the caller took and synced. */
  public void compact(Snapshot snapshot, LogSize keep) {
    state.log.compact(snapshot, keep);
  }

  /** Returns the size of the entries that are held in memory. */
  public LogSize retained() {
    return state.log.retained();
  }

  /** Returns the members as of an index at or after that of the last snapshot. */
  public Membership membershipAt(long index) {
    return state.log.membershipAt(index);
  }

  /** Returns the term of an entry that is still in the log. */
  public long termAt(long index) {
    return state.log.termAt(index);
  }

  /** Returns the members as of the newest membership change in the log, committed or not. */
  public Membership membership() {
    return state.log.membership();
  }

  /** Returns whether the newest membership change in the log is committed. */
  public boolean isMembershipCommitted() {
    return state.log.isMembershipCommitted();
  }

  /**
   * Returns the highest index up to which a replica is known to match the log; 0 if this replica is
   * not the leader.
   */
  public long matchIndex(long replicaId) {
    return leadership == null ? 0 : leadership.matchIndex(replicaId);
  }

  /**
   * Returns whether this replica is the leader and has committed an entry of its term, so that it
   * knows all entries committed in earlier terms.
   */
  public boolean hasCommittedInTerm() {
    return leadership != null && leadership.hasCommittedInTerm();
  }

  /**
   * Returns whether a replica replied recently and lacks only a few entries; false if this replica
   * is not the leader.
   */
  public boolean hasCaughtUp(long replicaId) {
    return leadership != null && leadership.hasCaughtUp(replicaId);
  }

  /**
   * Returns the time in milliseconds since the leader last had contact with a replica; 0 if this
   * replica is not the leader.
   */
  public long unresponsiveMillis(long replicaId) {
    return leadership == null ? 0 : leadership.unresponsiveMillis(replicaId);
  }

  /**
   * Returns the time in milliseconds since this replica became the leader; 0 if it is not the
   * leader.
   */
  public long leadingMillis() {
    return leadership == null ? 0 : leadership.leadingMillis();
  }

  /** Returns the role of this replica in its current term. */
  public Role role() {
    return role;
  }

  /** Returns the current term of this replica. */
  public long term() {
    return state.term();
  }

  /** Returns the presumed leader of the current term, or empty if none is known. */
  public OptionalLong leader() {
    return state.leaderId() == ReplicaState.NO_REPLICA
        ? OptionalLong.empty()
        : OptionalLong.of(state.leaderId());
  }

  /** Returns the highest index that is known to be committed. */
  public long commitIndex() {
    return state.log.commitIndex();
  }

  /** Returns the index of the last entry in the log. */
  public long lastIndex() {
    return state.log.lastIndex();
  }
}
