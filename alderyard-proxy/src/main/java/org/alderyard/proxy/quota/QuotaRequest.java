package org.alderyard.proxy.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaReply.Verdict;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;

/**
 * One request for operations, which asks the counters of an organisation in turn until one grants
 * some.
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
  private final TakeQuotaRequest message;
  private final CompletableFuture<Result> result = new CompletableFuture<>();
  // Guarded by this.
  private final Deque<HostState> remaining;
  private int exhaustedCounters;
  private int retryAfterMillis = QuotaLedger.MAX_RETRY_MILLIS;

  /**
   * Result of the request.
   *
   * @param operations the granted operations; 0 if the decision is a refusal
   * @param sentNanos when the counter that granted them was asked
   */
  record Result(QuotaDecision decision, int operations, long sentNanos) {}

  QuotaRequest(
      CounterClient client,
      MonotonicClock clock,
      TakeQuotaRequest message,
      List<HostState> counters) {
    this.client = client;
    this.clock = clock;
    this.message = message;
    this.remaining = new ArrayDeque<>(counters);
  }

  /** Starts the request; the future never fails. */
  CompletableFuture<Result> run() {
    askNext();
    return result;
  }

  private void askNext() {
    HostState next;
    synchronized (this) {
      next = remaining.pollFirst();
    }
    if (next == null) {
      result.complete(new Result(refusal(), 0, clock.nowNanos()));
      return;
    }
    long sentNanos = clock.nowNanos();
    client
        .take(next, message, TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                handle(reply, sentNanos);
              } else {
                askNext();
              }
            });
  }

  private void handle(TakeQuotaReply reply, long sentNanos) {
    if (reply.getVerdict() == Verdict.GRANTED && reply.getOperations() > 0) {
      result.complete(new Result(QuotaDecision.ADMITTED, reply.getOperations(), sentNanos));
      return;
    }
    if (reply.getVerdict() == Verdict.EXHAUSTED) {
      synchronized (this) {
        exhaustedCounters++;
        retryAfterMillis = Math.min(retryAfterMillis, reply.getRetryAfterMillis());
      }
    }
    askNext();
  }

  private synchronized QuotaDecision refusal() {
    return exhaustedCounters > 0
        ? QuotaDecision.overLimit(retryAfterMillis)
        : QuotaDecision.noCounter(NO_COUNTER_RETRY_MILLIS);
  }
}
