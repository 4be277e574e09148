package org.alderyard.control.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.RaftMessage;

/** State shared by the parts of one replica: term and vote, log, time and outgoing messages. */
final class ReplicaState {
  static final long NO_REPLICA = 0;

  /**
   * Period after the start of a replica in which it repeats pre-votes at the heartbeat interval.
   * Machines that restart together come up some tenths of a second apart.
   */
  private static final long STARTUP_MILLIS = 1_000;

  final long self;
  final RaftOptions options;
  final RaftLog log;
  private final RandomGenerator random;
  private final List<RaftMessage> beforeSync = new ArrayList<>();
  private final List<RaftMessage> afterSync = new ArrayList<>();
  private HardState hardState;
  private HardState storedHardState;
  private long leaderId = NO_REPLICA;
  private long nowMillis;
  private long electionDeadlineMillis;
  private long leaderContactMillis;
  private final long startedMillis;
  private boolean hasSeenLeader;
  // The last other replica that led, and what is known of it since.
  private long lastLeaderId = NO_REPLICA;
  private long lastLeaderHeardMillis;
  private boolean lastLeaderEnded;
  private long lastLeaderEndedMillis;

  ReplicaState(
      long self,
      RaftOptions options,
      RaftLog log,
      HardState storedHardState,
      RandomGenerator random,
      long nowMillis) {
    this.self = self;
    this.options = options;
    this.log = log;
    this.random = random;
    this.nowMillis = nowMillis;
    this.hardState = storedHardState;
    this.storedHardState = storedHardState;
    this.startedMillis = nowMillis;
    electionDeadlineMillis = nowMillis + random.nextLong(options.heartbeatMillis());
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Advances the time. A time before the current one is ignored, so the time never goes back. */
  void advanceTo(long millis) {
    nowMillis = Math.max(nowMillis, millis);
  }

  long term() {
    return hardState.getTerm();
  }

  long votedFor() {
    return hardState.getVotedFor();
  }

  /**
   * Sets the current term and the vote cast in it. Once synced, the replica takes part in no
   * earlier term and votes for no other candidate in this term.
   */
  void updateHardState(long term, long votedFor) {
    hardState = hardState.toBuilder().setTerm(term).setVotedFor(votedFor).build();
  }

  /**
   * Records that the newest membership change is committed, if it is. A replica that starts again
   * would otherwise need a quorum of the members before that change too.
   */
  void recordCommittedMembership() {
    long index = log.committedMembershipIndex();
    if (index > hardState.getCommittedMembershipIndex()) {
      hardState = hardState.toBuilder().setCommittedMembershipIndex(index).build();
    }
  }

  HardState hardState() {
    return hardState;
  }

  boolean hasUnsyncedHardState() {
    return !hardState.equals(storedHardState);
  }

  void markHardStateStored() {
    storedHardState = hardState;
  }

  long leaderId() {
    return leaderId;
  }

  void clearLeader() {
    leaderId = NO_REPLICA;
  }

  void recordLeader(long leader) {
    leaderId = leader;
    hasSeenLeader = true;
    leaderContactMillis = nowMillis;
    if (leader != self) {
      lastLeaderId = leader;
      recordMessageFrom(leader);
    }
    restartElectionTimer();
  }

  /** Records that a replica has sent a message, so that its process runs. */
  void recordMessageFrom(long replicaId) {
    if (replicaId == lastLeaderId) {
      lastLeaderHeardMillis = nowMillis;
      lastLeaderEnded = false;
    }
  }

  /**
   * Records that the process of a replica has ended. If it led, an election is due after less than
   * half a heartbeat, at a random time, so that the voters do not all campaign at once.
   */
  void recordEndedProcess(long replicaId) {
    if (replicaId != lastLeaderId) {
      return;
    }
    if (!lastLeaderEnded) {
      lastLeaderEnded = true;
      lastLeaderEndedMillis = nowMillis;
    }
    if (leaderId == replicaId) {
      electionDeadlineMillis =
          Math.min(
              electionDeadlineMillis,
              nowMillis + random.nextLong(1 + options.heartbeatMillis() / 2));
    }
  }

  /** Returns the last other replica that led; {@link #NO_REPLICA} if none made contact. */
  long lastLeaderId() {
    return lastLeaderId;
  }

  /** Returns the time of the last message of any kind from the last leader. */
  long lastLeaderHeardMillis() {
    return lastLeaderHeardMillis;
  }

  /** Returns whether the process of the last leader has ended since its last message. */
  boolean hasLastLeaderEnded() {
    return lastLeaderEnded;
  }

  /** Returns whether the last contact with a leader is too recent for an election. */
  boolean hasRecentLeader() {
    return leaderId != NO_REPLICA
        && !lastLeaderEnded
        && nowMillis - leaderContactMillis < options.electionTimeoutMinMillis();
  }

  /**
   * Returns whether this replica started recently and has had no contact with a leader since.
   *
   * <p>During this period the replica does not wait for an election timeout. After a power loss on
   * all hosts no leader exists whose timeout could be awaited, and all callers wait for the first
   * one. Immediate pre-votes do not disrupt a live leader, since the replicas in contact with it
   * refuse them.
   */
  boolean isStarting() {
    return !hasSeenLeader && nowMillis - startedMillis < STARTUP_MILLIS;
  }

  /**
   * Schedules the next pre-vote round. During startup the delay is one heartbeat, since other
   * replicas may not be up yet. It is short too after the end of the leader's process, of which the
   * other replicas may learn a little later.
   */
  void scheduleNextPreVote() {
    if (isStarting()) {
      electionDeadlineMillis = nowMillis + options.heartbeatMillis();
    } else if (hasLeaderJustEnded()) {
      electionDeadlineMillis =
          nowMillis + options.heartbeatMillis() + random.nextLong(options.heartbeatMillis());
    } else {
      restartElectionTimer();
    }
  }

  private boolean hasLeaderJustEnded() {
    return lastLeaderEnded && nowMillis - lastLeaderEndedMillis < STARTUP_MILLIS;
  }

  boolean isElectionDue() {
    return nowMillis >= electionDeadlineMillis;
  }

  /** Returns the time at which an election becomes due without contact with a leader. */
  long electionDeadlineMillis() {
    return electionDeadlineMillis;
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

  /**
   * Queues a message that is sent before the sync. Safe only for messages of a leader, whose term
   * is already synced.
   */
  void sendBeforeSync(RaftMessage.Builder message) {
    beforeSync.add(message.build());
  }

  void sendAfterSync(RaftMessage.Builder message) {
    afterSync.add(message.build());
  }

  List<RaftMessage> takeBeforeSync() {
    return takeAll(beforeSync);
  }

  List<RaftMessage> takeAfterSync() {
    return takeAll(afterSync);
  }

  private static List<RaftMessage> takeAll(List<RaftMessage> messages) {
    List<RaftMessage> result = List.copyOf(messages);
    messages.clear();
    return result;
  }
}
