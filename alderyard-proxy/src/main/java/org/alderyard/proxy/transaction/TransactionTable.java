package org.alderyard.proxy.transaction;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * The open transactions of one proxy, and the ends of the most recent ones.
 *
 * <p>Thread-safe; its lock is acquired before that of a transaction.
 */
final class TransactionTable {
  private static final long RETRY_AFTER_MILLIS = 500;

  private final TransactionLimits limits;
  // Guarded by this.
  private final Map<TransactionId, OpenTransaction> openTransactions = new HashMap<>();
  private final Map<TransactionId, TransactionEnd> recentEnds = new LinkedHashMap<>();
  private int reservedCount;

  TransactionTable(TransactionLimits limits) {
    this.limits = limits;
  }

  /** Reserves capacity for a transaction that is about to begin. */
  synchronized void reserve() {
    if (openTransactions.size() + reservedCount >= limits.maxOpen()) {
      // NOT_RUN is accurate: no connection was taken for the transaction.
      throw AlderyardException.notRun(
          ErrorCode.OVERLOADED,
          limits.maxOpen() + " transactions are already open",
          RETRY_AFTER_MILLIS);
    }
    reservedCount++;
  }

  synchronized void cancelReservation() {
    reservedCount--;
  }

  synchronized void add(TransactionId id, OpenTransaction transaction) {
    reservedCount--;
    openTransactions.put(id, transaction);
  }

  synchronized Optional<OpenTransaction> find(TransactionId id) {
    return Optional.ofNullable(openTransactions.get(id));
  }

  synchronized Optional<TransactionEnd> findEnd(TransactionId id) {
    return Optional.ofNullable(recentEnds.get(id));
  }

  /** Ends a transaction; returns false if it has already ended. */
  synchronized boolean markEnded(TransactionId id, TransactionEnd end) {
    if (openTransactions.remove(id) == null) {
      return false;
    }
    recordEnd(id, end);
    return true;
  }

  /** Records how a transaction ended, replacing an earlier record. */
  synchronized void recordEnd(TransactionId id, TransactionEnd end) {
    recentEnds.put(id, end);
    if (recentEnds.size() > limits.maxEnded()) {
      recentEnds.remove(recentEnds.keySet().iterator().next());
    }
  }

  synchronized List<TransactionId> expired(long nowNanos) {
    List<TransactionId> expiredIds = new ArrayList<>();
    openTransactions.forEach(
        (id, transaction) -> {
          if (transaction.expired(limits, nowNanos)) {
            expiredIds.add(id);
          }
        });
    return expiredIds;
  }

  synchronized List<TransactionId> ids() {
    return List.copyOf(openTransactions.keySet());
  }

  synchronized int size() {
    return openTransactions.size();
  }
}
