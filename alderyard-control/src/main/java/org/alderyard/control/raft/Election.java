package org.alderyard.control.raft;

import java.util.HashSet;
import java.util.Set;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.VoteReply;
import org.alderyard.protocol.generated.raft.VoteRequest;

/** Asks for votes and gives them. */
final class Election {
  private final ReplicaState state;
  private final Set<Long> granted = new HashSet<>();
  private int preVoteRounds;

  Election(ReplicaState state) {
    this.state = state;
  }

  /** Asks whether an election could be won; the term stays, so a lone replica disturbs nobody. */
  void startPreVote() {
    preVoteRounds++;
    granted.clear();
    granted.add(state.self);
    state.awaitNextPreVote();
    requestVotes(true, state.term() + 1, false);
  }

  /** Stands for election in a new term. The own vote counts once it is synced. */
  void startVote(boolean handOver) {
    preVoteRounds = 0;
    granted.clear();
    state.promise(state.term() + 1, state.self);
    state.forgetLeader();
    state.restartElectionTimer();
    requestVotes(false, state.term(), handOver);
  }

  private void requestVotes(boolean preVote, long candidateTerm, boolean handOver) {
    VoteRequest request =
        VoteRequest.newBuilder()
            .setCandidateTerm(candidateTerm)
            .setPreVote(preVote)
            .setHandOver(handOver)
            .setLastIndex(state.log.lastIndex())
            .setLastTerm(state.log.lastTerm())
            .build();
    for (long voter : state.log.membership().voters()) {
      if (voter != state.self) {
        state.sendAfterSync(state.message(voter).setVoteRequest(request));
      }
    }
  }

  /** Counts a vote; only those of voters make up a majority. */
  void grant(long voter) {
    granted.add(voter);
  }

  boolean won() {
    return state.log.membership().isQuorum(granted::contains);
  }

  /**
   * Returns whether a request must not even move the term.
   *
   * <p>Guards against replicas that don't hear the leader (cut off one way, removed, or back after
   * a long silence): their campaign would end a term in which a majority is well served. As long as
   * a leader is fresh here, its term stays, unless the leader itself asked for the election.
   */
  boolean disturbs(VoteRequest request, Role role) {
    if (request.getHandOver()) {
      return false;
    }
    return role == Role.LEADER || state.leaderIsFresh();
  }

  /** Forgets earlier rounds, since a leader was heard or another replica stands. */
  void rest() {
    preVoteRounds = 0;
  }

  /** Answers a request whose term was taken over already, if it is a real one. */
  void answer(RaftMessage message) {
    VoteRequest request = message.getVoteRequest();
    boolean grant = mayGrant(message.getFrom(), request);
    if (grant) {
      // Whoever lets another one stand waits before it stands itself.
      state.restartElectionTimer();
    }
    if (grant && !request.getPreVote()) {
      state.promise(state.term(), message.getFrom());
    }
    // A pre-vote may come from a higher term, which is not taken over here: the reply carries it,
    // since the asker ignores what comes from a lower term than its own.
    long replyTerm =
        grant && request.getPreVote() ? Math.max(state.term(), message.getTerm()) : state.term();
    state.sendAfterSync(
        state
            .message(message.getFrom())
            .setTerm(replyTerm)
            .setVoteReply(
                VoteReply.newBuilder()
                    .setCandidateTerm(request.getCandidateTerm())
                    .setPreVote(request.getPreVote())
                    .setGranted(grant)));
  }

  /**
   * Returns whether this replica asks for the same and goes first.
   *
   * <p>Guards against a split vote: with one host lost, the two that are left often notice it at
   * once, let each other stand, vote for themselves, and the gap grows by a timeout each time. Of
   * two with equal logs the higher id goes first, but only in its first round, or while it starts:
   * if it can't win, it holds up nobody for long.
   */
  private boolean competes(long candidate, VoteRequest request) {
    boolean equalLogs =
        request.getLastIndex() == state.log.lastIndex()
            && request.getLastTerm() == state.log.lastTerm();
    boolean early = preVoteRounds == 1 || preVoteRounds > 0 && state.isStarting();
    return early && equalLogs && state.self > candidate;
  }

  private boolean mayGrant(long candidate, VoteRequest request) {
    if (!state.log.isUpToDate(request.getLastIndex(), request.getLastTerm())) {
      return false;
    }
    if (request.getPreVote()) {
      return request.getCandidateTerm() > state.term() && !competes(candidate, request);
    }
    if (request.getCandidateTerm() != state.term()) {
      return false;
    }
    return state.votedFor() == candidate
        || (state.votedFor() == ReplicaState.NOBODY && state.leaderId() == ReplicaState.NOBODY);
  }
}
