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
 * The open transactions of one proxy, and how the last ones ended.
 *
 * <p>Thread-safe; its own lock is taken before that of a transaction.
 */
final class TransactionTable {
  private static final long RETRY_AFTER_MILLIS = 500;

  private final TransactionLimits limits;
  // Guarded by this.
  private final Map<TransactionId, OpenTransaction> open = new HashMap<>();
  private final Map<TransactionId, TransactionEnd> ends = new LinkedHashMap<>();
  private int reserved;

  TransactionTable(TransactionLimits limits) {
    this.limits = limits;
  }

  /** Keeps a place for a transaction that is about to begin. */
  synchronized void reserve() {
    if (open.size() + reserved >= limits.maxOpen()) {
      // NOT_RUN holds: no connection was taken for the transaction.
      throw AlderyardException.notRun(
          ErrorCode.OVERLOADED,
          limits.maxOpen() + " transactions are open already",
          RETRY_AFTER_MILLIS);
    }
    reserved++;
  }

  synchronized void unreserve() {
    reserved--;
  }

  synchronized void add(TransactionId id, OpenTransaction transaction) {
    reserved--;
    open.put(id, transaction);
  }

  synchronized Optional<OpenTransaction> find(TransactionId id) {
    return Optional.ofNullable(open.get(id));
  }

  synchronized Optional<TransactionEnd> end(TransactionId id) {
    return Optional.ofNullable(ends.get(id));
  }

  /** Ends a transaction; returns false if it has ended before. */
  synchronized boolean remove(TransactionId id, TransactionEnd end) {
    if (open.remove(id) == null) {
      return false;
    }
    remember(id, end);
    return true;
  }

  /** Corrects how an ended transaction ended, once that is known. */
  synchronized void remember(TransactionId id, TransactionEnd end) {
    ends.put(id, end);
    if (ends.size() > limits.maxEnded()) {
      ends.remove(ends.keySet().iterator().next());
    }
  }

  synchronized List<TransactionId> expired(long nowNanos) {
    List<TransactionId> result = new ArrayList<>();
    open.forEach(
        (id, transaction) -> {
          if (transaction.expired(limits, nowNanos)) {
            result.add(id);
          }
        });
    return result;
  }

  synchronized List<TransactionId> ids() {
    return List.copyOf(open.keySet());
  }

  synchronized int size() {
    return open.size();
  }
}
