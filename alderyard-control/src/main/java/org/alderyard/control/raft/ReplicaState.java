package org.alderyard.control.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.RaftMessage;

/**
 * What the parts of one replica share: its promises, its log, the time and the messages to send.
 */
final class ReplicaState {
  static final long NOBODY = 0;

  /**
   * For how long after its start a replica repeats pre-votes at the pace of heartbeats: machines
   * that come back together differ by some tenths of a second.
   */
  private static final long STARTING_MILLIS = 1_000;

  final long self;
  final RaftOptions options;
  final RaftLog log;
  private final RandomGenerator random;
  private final List<RaftMessage> early = new ArrayList<>();
  private final List<RaftMessage> afterSync = new ArrayList<>();
  private HardState promised;
  private HardState stored;
  private long leaderId = NOBODY;
  private long nowMillis;
  private long electionDeadlineMillis;
  private long leaderHeardMillis;
  private final long startedMillis;
  private boolean everHeardLeader;

  ReplicaState(
      long self,
      RaftOptions options,
      RaftLog log,
      HardState stored,
      RandomGenerator random,
      long nowMillis) {
    this.self = self;
    this.options = options;
    this.log = log;
    this.random = random;
    this.nowMillis = nowMillis;
    this.promised = stored;
    this.stored = stored;
    this.startedMillis = nowMillis;
    electionDeadlineMillis = nowMillis + random.nextLong(options.heartbeatMillis());
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Moves the time on; a clock that seems to go back is taken as standing still. */
  void advanceTo(long millis) {
    nowMillis = Math.max(nowMillis, millis);
  }

  long term() {
    return promised.getTerm();
  }

  long votedFor() {
    return promised.getVotedFor();
  }

  /** Promises to take part in no earlier term, and to give the vote of this term to nobody else. */
  void promise(long term, long votedFor) {
    promised = HardState.newBuilder().setTerm(term).setVotedFor(votedFor).build();
  }

  HardState promised() {
    return promised;
  }

  boolean promiseUnsynced() {
    return !promised.equals(stored);
  }

  void markPromiseStored() {
    stored = promised;
  }

  long leaderId() {
    return leaderId;
  }

  void forgetLeader() {
    leaderId = NOBODY;
  }

  void heardLeader(long leader) {
    leaderId = leader;
    everHeardLeader = true;
    leaderHeardMillis = nowMillis;
    restartElectionTimer();
  }

  /** Returns whether a leader was heard so lately that nobody needs an election. */
  boolean leaderIsFresh() {
    return leaderId != NOBODY && nowMillis - leaderHeardMillis < options.electionTimeoutMinMillis();
  }

  /**
   * Returns whether this replica has just started and has not heard a leader yet.
   *
   * <p>Guards against an election timeout that nobody needs: after a loss of power everywhere all
   * callers wait for the first leader, and there was none whose silence could be waited out. Asking
   * for pre-votes at once disturbs no leader that lives, since those that hear it refuse.
   */
  boolean isStarting() {
    return !everHeardLeader && nowMillis - startedMillis < STARTING_MILLIS;
  }

  /** Waits for the next round of pre-votes; others may not be up yet when this replica starts. */
  void awaitNextPreVote() {
    if (isStarting()) {
      electionDeadlineMillis = nowMillis + options.heartbeatMillis();
    } else {
      restartElectionTimer();
    }
  }

  boolean electionIsDue() {
    return nowMillis >= electionDeadlineMillis;
  }

  void restartElectionTimer() {
    electionDeadlineMillis =
        nowMillis
            + random.nextLong(
                options.electionTimeoutMinMillis(), options.electionTimeoutMaxMillis() + 1);
  }

  RaftMessage.Builder message(long to) {
    return RaftMessage.newBuilder().setFrom(self).setTo(to).setTerm(term());
  }

  /** Sends without waiting for the disk: only for what a leader says of its synced term. */
  void sendEarly(RaftMessage.Builder message) {
    early.add(message.build());
  }

  void sendAfterSync(RaftMessage.Builder message) {
    afterSync.add(message.build());
  }

  List<RaftMessage> takeEarly() {
    return take(early);
  }

  List<RaftMessage> takeAfterSync() {
    return take(afterSync);
  }

  private static List<RaftMessage> take(List<RaftMessage> messages) {
    List<RaftMessage> result = List.copyOf(messages);
    messages.clear();
    return result;
  }
}
