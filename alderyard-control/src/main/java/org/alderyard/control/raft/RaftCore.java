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
 * One replica of the log as a pure state machine.
 *
 * <p>The caller feeds messages, proposals and the time, then calls {@link #drain()}, performs the
 * effects in their order and calls {@link #synced()}. Between those two calls it feeds nothing.
 *
 * <pre>{@code
 * core.receive(message, clock.nowMillis());
 * Effects effects = core.drain();
 * send(effects.early());
 * store.sync(effects);
 * core.synced();
 * send(effects.afterSync());
 * apply(effects.committed());
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class RaftCore {
  private final ReplicaState state;
  private final Election election;
  private final Follower follower;
  private final List<Long> failedReads = new ArrayList<>();
  private Role role = Role.FOLLOWER;
  // Not null exactly while this replica leads.
  private Leadership leadership;

  /**
   * Creates a replica from what it had synced.
   *
   * @param self the id of this replica
   * @param options the settings
   * @param hardState the synced term and vote
   * @param snapshot the last snapshot, or {@link Snapshot#founding}
   * @param entries the entries after the snapshot
   * @param random draws the election timeouts
   * @param nowMillis the time
   */
  public RaftCore(
      long self,
      RaftOptions options,
      HardState hardState,
      Snapshot snapshot,
      List<Entry> entries,
      RandomGenerator random,
      long nowMillis) {
    RaftLog log = new RaftLog(snapshot, entries);
    state = new ReplicaState(self, options, log, hardState, random, nowMillis);
    election = new Election(state);
    follower = new Follower(state);
  }

  /** Lets time pass: campaigns, heartbeats and stepping down come from here. */
  public void tick(long nowMillis) {
    state.advanceTo(nowMillis);
    if (role == Role.LEADER) {
      tickLeader();
      return;
    }
    if (!state.electionIsDue()) {
      return;
    }
    if (!state.log.membership().isVoter(state.self)) {
      state.restartElectionTimer();
      return;
    }
    campaign();
  }

  private void tickLeader() {
    if (!leadership.hearsQuorum()) {
      becomeFollower(state.term());
      return;
    }
    leadership.tick();
  }

  private void campaign() {
    role = Role.PRE_CANDIDATE;
    state.forgetLeader();
    election.startPreVote();
    if (election.won()) {
      stand(false);
    }
  }

  private void stand(boolean handOver) {
    role = Role.CANDIDATE;
    election.startVote(handOver);
  }

  private void becomeFollower(long term) {
    if (leadership != null) {
      failedReads.addAll(leadership.abandonReads());
      leadership = null;
    }
    role = Role.FOLLOWER;
    election.rest();
    state.forgetLeader();
    state.restartElectionTimer();
    if (term > state.term()) {
      state.promise(term, ReplicaState.NOBODY);
    }
  }

  private void becomeLeader() {
    role = Role.LEADER;
    state.heardLeader(state.self);
    leadership = new Leadership(state);
  }

  /** Takes a message; one for another replica id is dropped, such as one for a wiped disk. */
  public void receive(RaftMessage message, long nowMillis) {
    state.advanceTo(nowMillis);
    if (message.getTo() != state.self) {
      return;
    }
    boolean voteRequest = message.hasVoteRequest();
    if (voteRequest && election.disturbs(message.getVoteRequest(), role)) {
      return;
    }
    boolean preVote = voteRequest && message.getVoteRequest().getPreVote();
    if (message.getTerm() > state.term() && !preVote) {
      becomeFollower(message.getTerm());
    }
    if (message.getTerm() < state.term()) {
      refuseStale(message);
      return;
    }
    handle(message);
  }

  private void refuseStale(RaftMessage message) {
    if (message.hasVoteRequest()) {
      election.answer(message);
    } else if (message.hasAppendRequest() || message.hasSnapshotChunk()) {
      follower.refuseStale(message);
    }
  }

  private void handle(RaftMessage message) {
    switch (message.getBodyCase()) {
      case VOTE_REQUEST -> election.answer(message);
      case VOTE_REPLY -> onVoteReply(message);
      case APPEND_REQUEST -> {
        follow(message.getFrom());
        follower.onAppend(message);
      }
      case SNAPSHOT_CHUNK -> {
        follow(message.getFrom());
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
        if (role != Role.LEADER && state.log.membership().isVoter(state.self)) {
          stand(true);
        }
      }
      default -> {
        // A body that a newer build added: there is nothing to do for it here.
      }
    }
  }

  private void follow(long leader) {
    if (role == Role.LEADER) {
      throw new IllegalStateException(
          "replicas " + state.self + " and " + leader + " both lead term " + state.term());
    }
    role = Role.FOLLOWER;
    election.rest();
    state.heardLeader(leader);
  }

  private void onVoteReply(RaftMessage message) {
    VoteReply reply = message.getVoteReply();
    Role asked = reply.getPreVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    long candidateTerm = reply.getPreVote() ? state.term() + 1 : state.term();
    if (role != asked || reply.getCandidateTerm() != candidateTerm || !reply.getGranted()) {
      return;
    }
    election.grant(message.getFrom());
    advanceElection();
  }

  private void advanceElection() {
    if (!election.won()) {
      return;
    }
    if (role == Role.PRE_CANDIDATE) {
      stand(false);
    } else if (role == Role.CANDIDATE) {
      becomeLeader();
    }
  }

  /** A leader that was voted out serves until the change is committed, and no longer. */
  private void stepDownIfRemoved() {
    boolean settled = state.log.membershipIndex() <= state.log.commitIndex();
    if (settled && !state.log.membership().isVoter(state.self)) {
      leadership.flush();
      becomeFollower(state.term());
    }
  }

  /**
   * Appends a command.
   *
   * @return its index, or nothing when this replica doesn't lead or is handing over
   */
  public OptionalLong propose(ByteString command) {
    if (leadership == null || leadership.isHandingOver()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(leadership.append(EntryKind.COMMAND, command));
  }

  /** Changes the membership by one step. */
  public Verdict change(MembershipChange change) {
    if (leadership == null || leadership.isHandingOver()) {
      return Verdict.NOT_LEADER;
    }
    boolean settled = state.log.membershipIndex() <= state.log.commitIndex();
    if (!settled || !leadership.isEstablished()) {
      return Verdict.CHANGE_IN_PROGRESS;
    }
    MembershipRule rule = new MembershipRule(membership(), leadership::hasCaughtUp);
    Verdict verdict = rule.judge(change);
    if (verdict == Verdict.ACCEPTED) {
      leadership.append(EntryKind.MEMBERSHIP, rule.resultOf(change).toList().toByteString());
    }
    return verdict;
  }

  /**
   * Asks for a confirmed read.
   *
   * @return whether this replica leads; if so the read comes back in {@link Effects#reads()} or
   *     {@link Effects#failedReads()}
   */
  public boolean read(long readId) {
    if (leadership == null) {
      return false;
    }
    leadership.read(readId);
    return true;
  }

  /** Hands the leadership to another voter; returns whether that was begun. */
  public boolean handOver(long target) {
    boolean possible = leadership != null && target != state.self && membership().isVoter(target);
    if (possible) {
      leadership.handOver(target);
    }
    return possible;
  }

  /** Returns the effects of all steps since the last call. */
  public Effects drain() {
    List<ConfirmedRead> reads = List.of();
    if (leadership != null) {
      leadership.flush();
      reads = leadership.confirmedReads();
    }
    Optional<HardState> hardState =
        state.promiseUnsynced() ? Optional.of(state.promised()) : Optional.empty();
    List<Long> failed = List.copyOf(failedReads);
    failedReads.clear();
    return new Effects(
        state.takeEarly(),
        hardState,
        follower.takeReceived(),
        state.log.unstored(),
        state.takeAfterSync(),
        state.log.takeCommitted(),
        reads,
        failed);
  }

  /** Tells that everything of the last {@link #drain()} is synced. */
  public void synced() {
    state.markPromiseStored();
    state.log.markStored();
    if (role == Role.CANDIDATE) {
      election.grant(state.self);
      advanceElection();
    }
    if (leadership != null) {
      leadership.advanceCommit();
      stepDownIfRemoved();
    }
  }

  /** Trims the log by a snapshot of applied entries that the caller took and synced. */
  public void compact(Snapshot snapshot, long keepEntries) {
    state.log.compact(snapshot, keepEntries);
  }

  /** Returns the members as of an index at or after the last snapshot. */
  public Membership membershipAt(long index) {
    return state.log.membershipAt(index);
  }

  /** Returns the term of an entry that is still in the log. */
  public long termAt(long index) {
    return state.log.termAt(index);
  }

  /** Returns the members by the newest change in the log. */
  public Membership membership() {
    return state.log.membership();
  }

  /** Returns up to where the leader knows a replica to hold the log; 0 when not leading. */
  public long matchIndex(long replicaId) {
    return leadership == null ? 0 : leadership.matchIndex(replicaId);
  }

  /** Returns whether this replica leads and knows exactly what was committed before its term. */
  public boolean isEstablished() {
    return leadership != null && leadership.isEstablished();
  }

  /** Returns whether a replica, as the leader knows it, holds the log but for a few entries. */
  public boolean hasCaughtUp(long replicaId) {
    return leadership != null && leadership.hasCaughtUp(replicaId);
  }

  /** Returns for how long the leader has not heard a replica; 0 when not leading. */
  public long silentMillis(long replicaId) {
    return leadership == null ? 0 : leadership.silentMillis(replicaId);
  }

  /** Returns what this replica does in its term. */
  public Role role() {
    return role;
  }

  /** Returns the term. */
  public long term() {
    return state.term();
  }

  /** Returns the replica that is believed to lead. */
  public OptionalLong leader() {
    return state.leaderId() == ReplicaState.NOBODY
        ? OptionalLong.empty()
        : OptionalLong.of(state.leaderId());
  }

  /** Returns the last entry that is known to be committed. */
  public long commitIndex() {
    return state.log.commitIndex();
  }

  /** Returns the last entry of the log. */
  public long lastIndex() {
    return state.log.lastIndex();
  }
}
