package org.alderyard.control.raft;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.VoteReply;
import org.alderyard.protocol.generated.raft.VoteRequest;

/** Requests votes for this replica and replies to vote requests of other candidates. */
final class Election {
  private final ReplicaState state;
  private final Set<Long> grantedBy = new HashSet<>();
  private final Set<Long> lostDisks = new HashSet<>();
  // The replicas that had lost their disks before the votes were requested.
  private Set<Long> lostDisksAtRequest = Set.of();
  private int preVoteRounds;

  Election(ReplicaState state) {
    this.state = state;
  }

  /**
   * Starts a pre-vote round, which checks whether an election could be won. The term stays, so an
   * isolated replica does not disrupt the others.
   */
  void startPreVote() {
    preVoteRounds++;
    grantedBy.clear();
    grantedBy.add(state.self);
    state.scheduleNextPreVote();
    requestVotes(true, state.term() + 1, false);
  }

  /**
   * Starts an election in a new term. The vote of this replica for itself counts once it is synced.
   */
  void startElection(boolean handOver) {
    preVoteRounds = 0;
    grantedBy.clear();
    state.updateHardState(state.term() + 1, state.self);
    state.clearLeader();
    state.restartElectionTimer();
    requestVotes(false, state.term(), handOver);
  }

  /**
   * Records that a replica has lost its disk and never votes again; returns false if that was
   * recorded before.
   */
  boolean recordLostDisk(long replicaId) {
    return lostDisks.add(replicaId);
  }

  private void requestVotes(boolean preVote, long candidateTerm, boolean handOver) {
    lostDisksAtRequest = Set.copyOf(lostDisks);
    VoteRequest request =
        VoteRequest.newBuilder()
            .setCandidateTerm(candidateTerm)
            .setPreVote(preVote)
            .setHandOver(handOver)
            .setLastIndex(state.log.lastIndex())
            .setLastTerm(state.log.lastTerm())
            .build();
    for (long voter : voters()) {
      if (voter != state.self) {
        state.sendAfterSync(state.message(voter).setVoteRequest(request));
      }
    }
  }

  /** Returns the voters, with those before a membership change that may not be committed. */
  private Set<Long> voters() {
    Set<Long> voters = new TreeSet<>(state.log.membership().voters());
    if (!state.log.areVotersCommitted()) {
      voters.addAll(state.log.previousMembership().voters());
    }
    return voters;
  }

  /** Records a vote. Only the votes of voters count towards a majority. */
  void recordVote(long voter) {
    grantedBy.add(voter);
  }

  /**
   * Returns whether the votes elect this replica. While the newest membership change may not be
   * committed, a quorum of the members before it is needed too.
   *
   * <p>Half of the votes count as a quorum if another voter lost its disk before the votes were
   * requested. Of two disjoint halves only one can win so, since the other one would need the vote
   * of that voter.
   */
  boolean hasWon() {
    Membership newest = state.log.membership();
    if (state.log.areVotersCommitted()) {
      return newest.isQuorum(grantedBy::contains, lostDisksAtRequest::contains);
    }
    return newest.isQuorum(grantedBy::contains)
        && state
            .log
            .previousMembership()
            .isQuorum(grantedBy::contains, lostDisksAtRequest::contains);
  }

  /** Returns a voter without a disk that stood in for a vote; empty if a majority voted. */
  OptionalLong voterWithoutDisk() {
    Membership committed =
        state.log.areVotersCommitted() ? state.log.membership() : state.log.previousMembership();
    if (committed.isQuorum(grantedBy::contains)) {
      return OptionalLong.empty();
    }
    return committed.voters().stream()
        .mapToLong(Long::longValue)
        .filter(id -> !grantedBy.contains(id) && lostDisksAtRequest.contains(id))
        .findFirst();
  }

  /**
   * Returns whether a vote request must be ignored, without adopting its term.
   *
   * <p>Some replicas campaign because they do not receive the leader's messages: they are
   * partitioned one way, removed, or back after a long absence. Such a campaign would end a term in
   * which a majority is served. The term therefore stays while this replica leads or has recent
   * contact with a leader, unless the leader itself handed over.
   */
  boolean shouldIgnore(VoteRequest request, Role role) {
    if (request.getHandOver()) {
      return false;
    }
    return role == Role.LEADER || state.hasRecentLeader();
  }

  /** Resets the pre-vote round count, since a leader made contact or the term changed. */
  void resetPreVoteRounds() {
    preVoteRounds = 0;
  }

  /**
   * Replies to a vote request. Unless the request is a pre-vote, a higher term in it must have been
   * adopted before.
   */
  void onVoteRequest(RaftMessage message) {
    VoteRequest request = message.getVoteRequest();
    boolean granted = mayGrant(message.getFrom(), request);
    if (granted) {
      // Gives the candidate time to win before this replica campaigns.
      state.restartElectionTimer();
    }
    if (granted && !request.getPreVote()) {
      state.updateHardState(state.term(), message.getFrom());
    }
    // A pre-vote may carry a higher term, which is not adopted here. The reply carries that term,
    // since the candidate ignores messages with a term lower than its own.
    long replyTerm =
        granted && request.getPreVote() ? Math.max(state.term(), message.getTerm()) : state.term();
    state.sendAfterSync(
        state
            .message(message.getFrom())
            .setTerm(replyTerm)
            .setVoteReply(
                VoteReply.newBuilder()
                    .setCandidateTerm(request.getCandidateTerm())
                    .setPreVote(request.getPreVote())
                    .setGranted(granted)));
  }

  /**
   * Returns whether this replica runs for election too and has priority over the candidate.
   *
   * <p>Without this priority votes can split: when one of three hosts is lost, the other two often
   * detect it at the same time, grant each other's pre-vote and vote for themselves, and each such
   * round costs another timeout. Between equal logs the higher replica id has priority, but only in
   * its first pre-vote round or while it starts. If it cannot win, the delay is short.
   */
  private boolean hasPriorityOver(long candidate, VoteRequest request) {
    boolean equalLogs =
        request.getLastIndex() == state.log.lastIndex()
            && request.getLastTerm() == state.log.lastTerm();
    boolean priorityApplies = preVoteRounds == 1 || preVoteRounds > 0 && state.isStarting();
    return priorityApplies && equalLogs && state.self > candidate;
  }

  private boolean mayGrant(long candidate, VoteRequest request) {
    if (!state.log.isUpToDate(request.getLastIndex(), request.getLastTerm())) {
      return false;
    }
    if (request.getPreVote()) {
      return request.getCandidateTerm() > state.term() && !hasPriorityOver(candidate, request);
    }
    if (request.getCandidateTerm() != state.term()) {
      return false;
    }
    return state.votedFor() == candidate
        || (state.votedFor() == ReplicaState.NO_REPLICA
            && state.leaderId() == ReplicaState.NO_REPLICA);
  }
}
