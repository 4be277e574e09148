package org.alderyard.proxy.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaReply.Verdict;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;

/**
 * One request for operations, which asks the counters of an organisation in turn until one grants
 * some. If none does, it reserves the next token at the counter that has one first.
 *
 * <p>A counter that does not reply soon is left out, and its late grant is not used. Thread-safe;
 * guarded by the object's own lock, which is released before a counter is asked.
 */
final class QuotaRequest {
  /** Wait for a counter; a host that has just started replies within some tenths of a second. */
  private static final Duration TIMEOUT = Duration.ofMillis(250);

  /** When callers may retry if no counter replies; counters are back within about a second. */
  private static final int NO_COUNTER_RETRY_MILLIS = 300;

  private final CounterClient client;
  private final MonotonicClock clock;
  // Guarded by this.
  private TakeQuotaRequest message;
  private final CompletableFuture<Result> result = new CompletableFuture<>();
  // Guarded by this.
  private final Deque<HostState> remaining;
  private int exhaustedCounters;
  private Optional<HostState> lastCounter = Optional.empty();
  private Optional<HostState> soonestCounter = Optional.empty();
  private final int reserveWithinMillis;
  private int retryAfterMillis;

  /**
   * Result of the request.
   *
   * @param operations the granted operations; 0 if the decision is a refusal
   * @param sentNanos when the counter that granted them was asked
   * @param counter the counter that replied last, if one counts the organisation
   * @param plentiful whether that counter's tokens are plentiful
   * @param beginsInMillis when the operations may begin, counted from the reply
   */
  record Result(
      QuotaDecision decision,
      int operations,
      long sentNanos,
      Optional<HostState> counter,
      boolean plentiful,
      int beginsInMillis) {

    /** Returns this result with another decision. */
    Result withDecision(QuotaDecision changed) {
      return new Result(changed, operations, sentNanos, counter, plentiful, beginsInMillis);
    }
  }

  /**
   * Creates a request.
   *
   * @param message what to request of each counter
   * @param reserveWithinMillis reserves a token that is available within this time; 0 for none
   * @param maxRetryMillis the longest time that callers are told to wait
   */
  QuotaRequest(
      CounterClient client,
      MonotonicClock clock,
      TakeQuotaRequest message,
      int reserveWithinMillis,
      int maxRetryMillis,
      List<HostState> counters) {
    this.client = client;
    this.clock = clock;
    this.message = message;
    this.reserveWithinMillis = reserveWithinMillis;
    this.retryAfterMillis = maxRetryMillis;
    this.remaining = new ArrayDeque<>(counters);
  }

  /** Starts the request; the future never fails. */
  CompletableFuture<Result> run() {
    askNext();
    return result;
  }

  private void askNext() {
    HostState next;
    TakeQuotaRequest sent;
    synchronized (this) {
      next = remaining.isEmpty() ? takeSoonestCounter() : remaining.pollFirst();
      sent = message;
    }
    if (next == null) {
      result.complete(new Result(refusal(), 0, clock.nowNanos(), lastCounter(), false, 0));
      return;
    }
    long sentNanos = clock.nowNanos();
    client
        .take(next, sent, TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                handle(next, reply, sentNanos);
              } else {
                askNext();
              }
            });
  }

  /** Returns the counter to reserve a token at, once; null if none has one in time. */
  private HostState takeSoonestCounter() {
    if (soonestCounter.isEmpty() || retryAfterMillis > reserveWithinMillis) {
      return null;
    }
    HostState soonest = soonestCounter.get();
    soonestCounter = Optional.empty();
    message =
        message.toBuilder().setOperations(1).setReserveWithinMillis(reserveWithinMillis).build();
    return soonest;
  }

  private void handle(HostState counter, TakeQuotaReply reply, long sentNanos) {
    if (reply.getVerdict() == Verdict.GRANTED) {
      result.complete(
          new Result(
              QuotaDecision.ADMITTED,
              reply.getOperations(),
              sentNanos,
              Optional.of(counter),
              reply.getPlentiful(),
              reply.getBeginsInMillis()));
      return;
    }
    if (reply.getVerdict() == Verdict.EXHAUSTED) {
      synchronized (this) {
        exhaustedCounters++;
        lastCounter = Optional.of(counter);
        // Counted by this counter.
        message = message.toBuilder().clearBegun().build();
        recordRetryTime(counter, reply.getRetryAfterMillis());
      }
    }
    askNext();
  }

  private void recordRetryTime(HostState counter, int millis) {
    boolean reserving = message.getReserveWithinMillis() > 0;
    if (reserving) {
      // Others have reserved the token that was seen before.
      retryAfterMillis = Math.max(retryAfterMillis, millis);
    } else if (millis < retryAfterMillis) {
      retryAfterMillis = millis;
      soonestCounter = Optional.of(counter);
    }
  }

  private synchronized Optional<HostState> lastCounter() {
    return lastCounter;
  }

  private synchronized QuotaDecision refusal() {
    return exhaustedCounters > 0
        ? QuotaDecision.overLimit(retryAfterMillis)
        : QuotaDecision.noCounter(NO_COUNTER_RETRY_MILLIS);
  }
}
