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
 * The replication progress of one group in one term, and the writes that wait for it.
 *
 * <p>Not thread-safe: {@link MajorityAcknowledger} synchronizes on the object.
 */
final class ReplicationProgress {
  private final long term;
  private final Map<ServerId, Long> heldIndexByReplica = new HashMap<>();
  private final TreeMap<Long, List<CompletableFuture<Void>>> pendingWrites = new TreeMap<>();
  private boolean closed;

  ReplicationProgress(long term) {
    this.term = term;
  }

  void add(long index, CompletableFuture<Void> write) {
    pendingWrites.computeIfAbsent(index, key -> new ArrayList<>(1)).add(write);
  }

  void remove(long index, CompletableFuture<Void> write) {
    List<CompletableFuture<Void>> writes = pendingWrites.get(index);
    if (writes != null && writes.remove(write) && writes.isEmpty()) {
      pendingWrites.remove(index);
    }
  }

  /**
   * Records a replica's report; returns whether the replica has advanced in this term.
   *
   * <p>A replaced primary that now follows already reports the new term, but its log may still end
   * with entries that no other server holds, at indexes that the new primary assigns to other
   * writes. Those entries are dropped once its log contains the start of this term or an entry of
   * it, so its index counts only from then on.
   */
  boolean recordReport(ServerReport report) {
    if (report.term() != term || report.role() != ServerRole.REPLICA || !logReachesTerm(report)) {
      return false;
    }
    Long previous = heldIndexByReplica.get(report.server());
    if (previous != null && previous >= report.held().index()) {
      return false;
    }
    heldIndexByReplica.put(report.server(), report.held().index());
    return true;
  }

  private boolean logReachesTerm(ServerReport report) {
    return report.held().term() == term
        || report.termStarts().stream().anyMatch(start -> start.term() == term);
  }

  /**
   * Returns the last index that a majority holds.
   *
   * @param replicas the servers of the group without its primary, which holds every index
   */
  long majorityIndex(Collection<ServerId> replicas) {
    int replicasNeeded = (replicas.size() + 1) / 2;
    if (replicasNeeded == 0) {
      return Long.MAX_VALUE;
    }
    List<Long> held = new ArrayList<>();
    replicas.forEach(replica -> held.add(heldIndexByReplica.getOrDefault(replica, 0L)));
    held.sort(Collections.reverseOrder());
    return held.get(replicasNeeded - 1);
  }

  /** Removes and returns the writes up to and including an index. */
  List<CompletableFuture<Void>> removeUpTo(long index) {
    List<CompletableFuture<Void>> removed = new ArrayList<>();
    Map<Long, List<CompletableFuture<Void>>> reached = pendingWrites.headMap(index, true);
    reached.values().forEach(removed::addAll);
    reached.clear();
    return removed;
  }

  /** Returns the lowest pending index that the replica is not known to hold. */
  OptionalLong nextPendingIndex(ServerId replica) {
    Long next = pendingWrites.higherKey(heldIndexByReplica.getOrDefault(replica, 0L));
    return next == null ? OptionalLong.empty() : OptionalLong.of(next);
  }

  /** Closes this object and returns all pending writes; further writes must not be added. */
  List<CompletableFuture<Void>> close() {
    closed = true;
    return removeUpTo(Long.MAX_VALUE);
  }

  boolean closed() {
    return closed;
  }
}
