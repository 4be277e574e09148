package org.alderyard.proxy.write;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.id.ServerId;

/**
 * How far each replica of one group has come in one term, and which writes wait for it.
 *
 * <p>Not thread-safe: {@link MajorityAcknowledger} holds the lock of the object.
 */
final class HeldIndexes {
  private final long term;
  private final Map<ServerId, Long> heldByReplica = new HashMap<>();
  private final TreeMap<Long, List<CompletableFuture<Void>>> waiting = new TreeMap<>();
  private boolean closed;

  HeldIndexes(long term) {
    this.term = term;
  }

  void add(long index, CompletableFuture<Void> write) {
    waiting.computeIfAbsent(index, key -> new ArrayList<>(1)).add(write);
  }

  void remove(long index, CompletableFuture<Void> write) {
    List<CompletableFuture<Void>> writes = waiting.get(index);
    if (writes != null && writes.remove(write) && writes.isEmpty()) {
      waiting.remove(index);
    }
  }

  /**
   * Takes a replica's report; returns whether it shows progress in this term.
   *
   * <p>Guards against the tail of a replaced primary: after it is told to follow, it already names
   * the new term, but its log still ends with entries that nobody else holds, at indexes that the
   * new primary gives to other writes. It has dropped them once its log shows the start of this
   * term or an entry of it, so only then does its index count.
   */
  boolean report(ServerReport report) {
    if (report.term() != term || report.role() != ServerRole.REPLICA || !followsTerm(report)) {
      return false;
    }
    Long before = heldByReplica.get(report.server());
    if (before != null && before >= report.held().index()) {
      return false;
    }
    heldByReplica.put(report.server(), report.held().index());
    return true;
  }

  private boolean followsTerm(ServerReport report) {
    return report.held().term() == term
        || report.termStarts().stream().anyMatch(start -> start.term() == term);
  }

  /**
   * Returns the last index that a majority holds.
   *
   * @param replicas the servers of the group without its primary, which holds every index
   */
  long majorityIndex(Collection<ServerId> replicas) {
    int needed = (replicas.size() + 1) / 2;
    if (needed == 0) {
      return Long.MAX_VALUE;
    }
    List<Long> held = new ArrayList<>();
    replicas.forEach(replica -> held.add(heldByReplica.getOrDefault(replica, 0L)));
    held.sort(Collections.reverseOrder());
    return held.get(needed - 1);
  }

  /** Removes and returns the writes up to this index. */
  List<CompletableFuture<Void>> takeUpTo(long index) {
    List<CompletableFuture<Void>> done = new ArrayList<>();
    Map<Long, List<CompletableFuture<Void>>> reached = waiting.headMap(index, true);
    reached.values().forEach(done::addAll);
    reached.clear();
    return done;
  }

  /** Returns the lowest index that a write waits for and this replica is not known to hold. */
  OptionalLong nextFor(ServerId replica) {
    Long next = waiting.higherKey(heldByReplica.getOrDefault(replica, 0L));
    return next == null ? OptionalLong.empty() : OptionalLong.of(next);
  }

  /** Removes and returns all writes; no other one is taken. */
  List<CompletableFuture<Void>> close() {
    closed = true;
    return takeUpTo(Long.MAX_VALUE);
  }

  boolean closed() {
    return closed;
  }
}
