package org.alderyard.control.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.alderyard.control.raft.Effects.ConfirmedRead;

/**
 * Reads that wait for a quorum to confirm the leader.
 *
 * <p>Guards against a replaced leader that doesn't know it yet and would answer from an old state:
 * a read counts only after a majority answered a round of heartbeats that began after the read.
 */
final class ReadQueue {
  private final List<Long> arrived = new ArrayList<>();
  private final Deque<Pending> pending = new ArrayDeque<>();

  void add(long readId) {
    arrived.add(readId);
  }

  boolean hasArrived() {
    return !arrived.isEmpty();
  }

  /** Binds the reads that arrived to the round that begins now. */
  void beginRound(long round, long index) {
    arrived.forEach(readId -> pending.addLast(new Pending(readId, round, index)));
    arrived.clear();
  }

  /** Returns the reads that this confirmed round covers. */
  List<ConfirmedRead> confirm(long round) {
    List<ConfirmedRead> result = new ArrayList<>();
    while (!pending.isEmpty() && pending.peekFirst().round <= round) {
      Pending read = pending.removeFirst();
      result.add(new ConfirmedRead(read.readId, read.index));
    }
    return result;
  }

  /** Removes and returns all reads. */
  List<Long> drain() {
    List<Long> result = new ArrayList<>(arrived);
    pending.forEach(read -> result.add(read.readId));
    arrived.clear();
    pending.clear();
    return result;
  }

  private record Pending(long readId, long round, long index) {}
}
