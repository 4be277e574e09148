package org.alderyard.control.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.alderyard.control.raft.Effects.ConfirmedRead;

/**
 * Queue of reads that wait until a quorum confirms the leader.
 *
 * <p>A read is confirmed only after a majority has replied to a heartbeat round that started after
 * the read. Without this a replaced leader that has not yet received the new term would answer from
 * stale state.
 */
final class ReadQueue {
  private final List<Long> newReads = new ArrayList<>();
  private final Deque<PendingRead> pending = new ArrayDeque<>();

  void add(long readId) {
    newReads.add(readId);
  }

  boolean hasNewReads() {
    return !newReads.isEmpty();
  }

  /**
   * Assigns the new reads to the heartbeat round that starts now. Each read requires the given
   * index to be applied.
   */
  void assignRound(long round, long index) {
    newReads.forEach(readId -> pending.addLast(new PendingRead(readId, round, index)));
    newReads.clear();
  }

  /** Removes and returns the reads of all rounds up to a confirmed round. */
  List<ConfirmedRead> takeConfirmed(long round) {
    List<ConfirmedRead> result = new ArrayList<>();
    while (!pending.isEmpty() && pending.peekFirst().round <= round) {
      PendingRead read = pending.removeFirst();
      result.add(new ConfirmedRead(read.readId, read.index));
    }
    return result;
  }

  /** Removes and returns all reads. */
  List<Long> takeAll() {
    List<Long> result = new ArrayList<>(newReads);
    pending.forEach(read -> result.add(read.readId));
    newReads.clear();
    pending.clear();
    return result;
  }

  private record PendingRead(long readId, long round, long index) {}
}
