package org.alderyard.proxy.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The operations of one organisation that this host may begin, and those that wait to begin.
 *
 * <p>Granted operations expire soon, so that the operations that begin in a window are about those
 * granted in it. Thread-safe. No other lock is acquired while the lock of this object is held.
 */
final class HeldOperations {
  /** How long after the request a granted operation may begin. */
  static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The weight of a new interval in the mean interval between operations. */
  private static final double INTERVAL_WEIGHT = 0.2;

  // Guarded by this.
  private final Deque<Long> expiries = new ArrayDeque<>();
  private final Deque<CompletableFuture<QuotaDecision>> waiting = new ArrayDeque<>();
  private boolean asking;
  private long exhaustedUntilNanos;
  private boolean exhausted;
  private long lastOperationNanos;
  private double meanIntervalNanos = Double.POSITIVE_INFINITY;

  /** Returns the decision for one operation, which may have to wait for a grant. */
  synchronized CompletableFuture<QuotaDecision> begin(long nowNanos) {
    recordOperation(nowNanos);
    dropExpired(nowNanos);
    if (waiting.isEmpty() && !expiries.isEmpty()) {
      expiries.pollFirst();
      return CompletableFuture.completedFuture(QuotaDecision.ADMITTED);
    }
    if (exhausted && nowNanos - exhaustedUntilNanos < 0) {
      long millis = TimeUnit.NANOSECONDS.toMillis(exhaustedUntilNanos - nowNanos);
      return CompletableFuture.completedFuture(QuotaDecision.overLimit((int) Math.max(1, millis)));
    }
    CompletableFuture<QuotaDecision> decision = new CompletableFuture<>();
    waiting.addLast(decision);
    return decision;
  }

  private void recordOperation(long nowNanos) {
    if (lastOperationNanos != 0) {
      double interval = Math.max(1, nowNanos - lastOperationNanos);
      meanIntervalNanos =
          Double.isInfinite(meanIntervalNanos)
              ? interval
              : meanIntervalNanos + INTERVAL_WEIGHT * (interval - meanIntervalNanos);
    }
    lastOperationNanos = nowNanos;
  }

  private void dropExpired(long nowNanos) {
    while (!expiries.isEmpty() && expiries.peekFirst() - nowNanos <= 0) {
      expiries.removeFirst();
    }
  }

  /**
   * Returns how many operations to request now: those that wait, and half of those expected until a
   * grant expires. Returns 0 if none waits or a request is in flight.
   */
  synchronized int beginRequest() {
    if (asking || waiting.isEmpty()) {
      return 0;
    }
    asking = true;
    return waiting.size() + (int) (HOLD_NANOS / meanIntervalNanos / 2);
  }

  /** Ends a request with a grant; returns the decisions to complete as admitted. */
  synchronized List<CompletableFuture<QuotaDecision>> granted(
      int operations, long requestedNanos, long nowNanos) {
    asking = false;
    exhausted = false;
    long expiry = requestedNanos + HOLD_NANOS;
    if (expiry - nowNanos <= 0) {
      return List.of();
    }
    for (int i = 0; i < operations; i++) {
      expiries.addLast(expiry);
    }
    List<CompletableFuture<QuotaDecision>> admitted = new ArrayList<>();
    while (!expiries.isEmpty() && !waiting.isEmpty()) {
      expiries.pollFirst();
      admitted.add(waiting.pollFirst());
    }
    return admitted;
  }

  /** Ends a request without a grant; returns the decisions to complete as refused. */
  synchronized List<CompletableFuture<QuotaDecision>> refused(
      QuotaDecision decision, long nowNanos) {
    asking = false;
    exhausted = decision.verdict() == QuotaDecision.Verdict.OVER_LIMIT;
    exhaustedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(decision.retryAfterMillis());
    List<CompletableFuture<QuotaDecision>> all = new ArrayList<>(waiting);
    waiting.clear();
    return all;
  }
}
