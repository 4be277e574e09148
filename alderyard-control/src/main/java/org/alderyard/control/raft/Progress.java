package org.alderyard.control.raft;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Replication progress of one other replica, as tracked by the leader. */
final class Progress {
  private final Deque<Long> inflight = new ArrayDeque<>();
  private long matchIndex;
  private long nextIndex;
  private boolean probing = true;
  private boolean probeSent;
  private long lastContactMillis;
  private long repliedRound;
  private boolean replied;
  private long silentSinceMillis;
  private boolean processEnded;
  // The time of the first message since the last reply; meaningful only while a reply is awaited.
  private boolean replyAwaited;
  private long unansweredSinceMillis;
  // Non-null during a snapshot transfer. Kept so that a newer snapshot does not interrupt the
  // transfer.
  private Snapshot pendingSnapshot;
  private long snapshotOffsetBytes;

  Progress(long nextIndex, long nowMillis) {
    this.nextIndex = nextIndex;
    this.lastContactMillis = nowMillis;
    this.silentSinceMillis = nowMillis;
  }

  long matchIndex() {
    return matchIndex;
  }

  long nextIndex() {
    return nextIndex;
  }

  long lastContactMillis() {
    return lastContactMillis;
  }

  long repliedRound() {
    return repliedRound;
  }

  void recordReply(long nowMillis, long replyRound) {
    lastContactMillis = nowMillis;
    replyAwaited = false;
    replied = true;
    silentSinceMillis = nowMillis;
    processEnded = false;
    repliedRound = Math.max(repliedRound, replyRound);
  }

  /**
   * Returns whether the replica has replied to this leader. Before its first reply, the last
   * contact is the time at which the leader began to count.
   */
  boolean hasReplied() {
    return replied;
  }

  /**
   * Takes over what this replica knew of the other one before it became the leader.
   *
   * @param heardMillis the time of its last message
   * @param ended whether its process has ended since
   */
  void continueSilence(long heardMillis, boolean ended) {
    silentSinceMillis = heardMillis;
    processEnded = ended;
  }

  /** Records that the process of the replica has ended; its next reply shows that it is back. */
  void recordEndedProcess() {
    processEnded = true;
  }

  boolean hasEnded() {
    return processEnded;
  }

  /**
   * Returns the time without a message of the replica, in milliseconds. A silence that began before
   * the election counts once this leader has waited for a reply for the given time.
   */
  long silentMillis(long nowMillis, long minWaitMillis) {
    long waitedMillis = nowMillis - lastContactMillis;
    return waitedMillis < minWaitMillis ? waitedMillis : nowMillis - silentSinceMillis;
  }

  /** Records that a message was sent, to which the replica replies. */
  void recordMessage(long nowMillis) {
    if (!replyAwaited) {
      replyAwaited = true;
      unansweredSinceMillis = nowMillis;
    }
  }

  /**
   * Returns whether messages have been without a reply for longer than the given time. A reply
   * counts even if it is processed late, as by a leader whose syncs are slow.
   */
  boolean isUnansweredFor(long nowMillis, long millis) {
    return replyAwaited && nowMillis - unansweredSinceMillis > millis;
  }

  /**
   * Returns whether entries may be sent now: one message at a time while probing, otherwise up to
   * {@code maxInflight} messages without a reply.
   */
  boolean canSendEntries(int maxInflight) {
    if (pendingSnapshot != null) {
      return false;
    }
    return probing ? !probeSent : inflight.size() < maxInflight;
  }

  boolean probing() {
    return probing;
  }

  /**
   * Records that entries up to an index were sent. Unless probing, the next entries follow without
   * waiting for the reply.
   */
  void recordSent(long lastIndex) {
    if (probing) {
      probeSent = true;
      return;
    }
    if (lastIndex >= nextIndex) {
      nextIndex = lastIndex + 1;
      inflight.addLast(lastIndex);
    }
  }

  /** Allows another probe in case the last one was lost. Called once per heartbeat. */
  void allowProbeRetry() {
    probeSent = false;
  }

  void recordMatch(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    if (pendingSnapshot != null && matchIndex >= pendingSnapshot.lastIndex()) {
      pendingSnapshot = null;
      probing = true;
    }
    while (!inflight.isEmpty() && inflight.peekFirst() <= matchIndex) {
      inflight.removeFirst();
    }
    if (probing && pendingSnapshot == null) {
      probing = false;
      probeSent = false;
      nextIndex = matchIndex + 1;
    }
  }

  /**
   * Returns to probing after a rejected append. A rejection older than the latest match is ignored.
   */
  void recordRejection(long rejectedIndex, long lastPossibleMatch) {
    boolean stale = probing ? rejectedIndex != nextIndex - 1 : rejectedIndex <= matchIndex;
    if (stale || pendingSnapshot != null) {
      return;
    }
    inflight.clear();
    probing = true;
    probeSent = false;
    nextIndex = Math.max(matchIndex + 1, Math.min(rejectedIndex, lastPossibleMatch + 1));
  }

  void startSnapshot(Snapshot snapshot) {
    inflight.clear();
    probing = true;
    pendingSnapshot = snapshot;
    snapshotOffsetBytes = 0;
  }

  Optional<Snapshot> pendingSnapshot() {
    return Optional.ofNullable(pendingSnapshot);
  }

  long snapshotOffsetBytes() {
    return snapshotOffsetBytes;
  }

  /**
   * Sets the offset of the next chunk to the number of snapshot bytes that the receiver reports.
   */
  void setSnapshotOffset(long offsetBytes) {
    snapshotOffsetBytes = offsetBytes;
  }
}
