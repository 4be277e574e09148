package org.alderyard.control.raft;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** What a leader knows of one other replica, and what it sends there next. */
final class Progress {
  private final Deque<Long> inflight = new ArrayDeque<>();
  private long matchIndex;
  private long nextIndex;
  private boolean probing = true;
  private boolean probeSent;
  private long heardMillis;
  private long round;
  // Not null while a snapshot is sent; kept here so that a newer one doesn't break the transfer.
  private Snapshot sending;
  private long sentBytes;

  Progress(long nextIndex, long nowMillis) {
    this.nextIndex = nextIndex;
    this.heardMillis = nowMillis;
  }

  long matchIndex() {
    return matchIndex;
  }

  long nextIndex() {
    return nextIndex;
  }

  long heardMillis() {
    return heardMillis;
  }

  long round() {
    return round;
  }

  void heard(long nowMillis, long repliedRound) {
    heardMillis = nowMillis;
    round = Math.max(round, repliedRound);
  }

  /** Returns whether entries may be sent now: one message while probing, then a window. */
  boolean maySend(int maxInflight) {
    if (sending != null) {
      return false;
    }
    return probing ? !probeSent : inflight.size() < maxInflight;
  }

  boolean probing() {
    return probing;
  }

  /** Notes a message with entries up to the index; the next goes out before its reply. */
  void sent(long lastIndex) {
    if (probing) {
      probeSent = true;
      return;
    }
    if (lastIndex >= nextIndex) {
      nextIndex = lastIndex + 1;
      inflight.addLast(lastIndex);
    }
  }

  /** Lets a lost probe be sent again; called at the pace of the heartbeat. */
  void allowProbe() {
    probeSent = false;
  }

  void matched(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    if (sending != null && matchIndex >= sending.lastIndex()) {
      sending = null;
      probing = true;
    }
    while (!inflight.isEmpty() && inflight.peekFirst() <= matchIndex) {
      inflight.removeFirst();
    }
    if (probing && sending == null) {
      probing = false;
      probeSent = false;
      nextIndex = matchIndex + 1;
    }
  }

  /** Goes back to probing; an answer that is older than what matched since is ignored. */
  void rejected(long rejectedIndex, long agreeIndex) {
    boolean stale = probing ? rejectedIndex != nextIndex - 1 : rejectedIndex <= matchIndex;
    if (stale || sending != null) {
      return;
    }
    inflight.clear();
    probing = true;
    probeSent = false;
    nextIndex = Math.max(matchIndex + 1, Math.min(rejectedIndex, agreeIndex + 1));
  }

  void startSnapshot(Snapshot snapshot) {
    inflight.clear();
    probing = true;
    sending = snapshot;
    sentBytes = 0;
  }

  Optional<Snapshot> sending() {
    return Optional.ofNullable(sending);
  }

  long sentBytes() {
    return sentBytes;
  }

  /** Takes the receiver's word for what it holds of the snapshot. */
  void expectsOffset(long offsetBytes) {
    sentBytes = offsetBytes;
  }
}
