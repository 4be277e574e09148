package org.alderyard.proxy.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
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
  static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** How long a counter's report that its tokens are plentiful is valid. */
  private static final long PLENTIFUL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The weight of a new interval in the mean interval between operations. */
  private static final double INTERVAL_WEIGHT = 0.2;

  /** The time whose operations tell how many are expected, beyond bursts. */
  private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(1);

  // Guarded by this.
  private final RecentCount recent = new RecentCount(RECENT_NANOS);
  private final Deque<Long> expiries = new ArrayDeque<>();
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private int startOperations;
  private long plentifulUntilNanos;
  private boolean plentiful;
  private boolean begunUncounted;
  private boolean asking;
  private long exhaustedUntilNanos;
  private boolean exhausted;
  private long lastOperationNanos;
  private double meanIntervalNanos = Double.POSITIVE_INFINITY;

  /** An operation that waits for a grant, for at most the given time once none is left. */
  private record Waiting(CompletableFuture<QuotaDecision> decision, int maxWaitMillis) {}

  /**
   * Creates a host's state.
   *
   * @param startOperations the operations that may begin and are not counted
   * @param plentifulUntilNanos until when one operation may begin before it is counted, if no
   *     counter has replied
   */
  HeldOperations(int startOperations, long plentifulUntilNanos) {
    this.startOperations = startOperations;
    this.plentifulUntilNanos = plentifulUntilNanos;
    this.plentiful = true;
  }

  /**
   * Returns the decision for one operation, which may have to wait for a grant.
   *
   * @param maxWaitMillis how long the operation waits for the next token of a counter
   */
  synchronized CompletableFuture<QuotaDecision> begin(int maxWaitMillis, long nowNanos) {
    recordOperation(nowNanos);
    dropExpired(nowNanos);
    if (waiting.isEmpty() && !expiries.isEmpty()) {
      expiries.pollFirst();
      return CompletableFuture.completedFuture(QuotaDecision.ADMITTED);
    }
    if (waiting.isEmpty() && beginUnasked(nowNanos)) {
      return CompletableFuture.completedFuture(QuotaDecision.ADMITTED);
    }
    long exhaustedMillis = TimeUnit.NANOSECONDS.toMillis(exhaustedUntilNanos - nowNanos);
    if (exhausted && exhaustedUntilNanos - nowNanos > 0 && exhaustedMillis >= maxWaitMillis) {
      return CompletableFuture.completedFuture(
          QuotaDecision.overLimit((int) Math.max(1, exhaustedMillis)));
    }
    Waiting operation = new Waiting(new CompletableFuture<>(), maxWaitMillis);
    waiting.addLast(operation);
    return operation.decision();
  }

  /**
   * Begins an operation before asking, if this host has one left from its start, or if a counter
   * has tokens for one more operation of each host. The latter is counted before the next one.
   */
  private boolean beginUnasked(long nowNanos) {
    if (startOperations > 0) {
      startOperations--;
      return true;
    }
    if (!plentiful || begunUncounted || nowNanos - plentifulUntilNanos >= 0) {
      return false;
    }
    begunUncounted = true;
    return true;
  }

  private void recordOperation(long nowNanos) {
    recent.add(1, nowNanos);
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
   * What to send to a counter.
   *
   * @param operations the operations to request: those that wait, and half of those expected until
   *     a grant expires
   * @param begun the operations to count
   * @param maxWaitMillis how long the first of those that wait accepts to wait for a token
   */
  record Request(int operations, int begun, int maxWaitMillis) {}

  /** Begins a request; empty if none is needed or one is in flight. */
  synchronized Optional<Request> beginRequest() {
    return newRequest((int) (HOLD_NANOS / meanIntervalNanos / 2));
  }

  /**
   * Begins a request for operations that are counted before they begin; empty if none is needed or
   * one is in flight.
   *
   * @param ahead whether to request some of the operations that are expected; those that expire
   *     unused are lost to the organisation
   */
  synchronized Optional<Request> beginCountedRequest(boolean ahead, long nowNanos) {
    return newRequest(ahead ? (int) (recent.sum(nowNanos) * HOLD_NANOS / RECENT_NANOS / 2) : 0);
  }

  private Optional<Request> newRequest(int expected) {
    if (asking || waiting.isEmpty() && !begunUncounted) {
      return Optional.empty();
    }
    asking = true;
    int operations = waiting.isEmpty() ? 0 : waiting.size() + expected;
    int maxWaitMillis = waiting.isEmpty() ? 0 : waiting.peekFirst().maxWaitMillis();
    return Optional.of(new Request(operations, begunUncounted ? 1 : 0, maxWaitMillis));
  }

  /** Records the reply of a counter that has counted the operations of a request. */
  synchronized void counted(Request request, boolean nowPlentiful, long sentNanos) {
    if (request.begun() > 0) {
      begunUncounted = false;
    }
    plentiful = nowPlentiful;
    plentifulUntilNanos = sentNanos + PLENTIFUL_NANOS;
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
      admitted.add(waiting.pollFirst().decision());
    }
    return admitted;
  }

  /** Forgets that the limit was reached, as it has changed. */
  synchronized void limitChanged() {
    exhausted = false;
  }

  /**
   * Ends a request with a reserved token; returns the decision to complete as admitted at its time.
   */
  synchronized Optional<CompletableFuture<QuotaDecision>> reserved(
      long requestedNanos, long nowNanos) {
    asking = false;
    if (nowNanos - requestedNanos >= HOLD_NANOS) {
      return Optional.empty();
    }
    return Optional.ofNullable(waiting.pollFirst()).map(Waiting::decision);
  }

  /** Ends a request without a grant; returns the decisions to complete as refused. */
  synchronized List<CompletableFuture<QuotaDecision>> refused(
      QuotaDecision decision, long nowNanos) {
    asking = false;
    exhausted = decision.verdict() == QuotaDecision.Verdict.OVER_LIMIT;
    exhaustedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(decision.retryAfterMillis());
    List<CompletableFuture<QuotaDecision>> all =
        new ArrayList<>(waiting.stream().map(Waiting::decision).toList());
    waiting.clear();
    return all;
  }
}
