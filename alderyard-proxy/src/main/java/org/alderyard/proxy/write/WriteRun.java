package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one write, with retries, and tracks whether any attempt may have run. */
final class WriteRun {
  private static final Logger log = LoggerFactory.getLogger(WriteRun.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);

  private final WriteContext context;
  private final WriteRequest request;
  private final Deadline deadline;
  private final CompletableFuture<WriteAnswer> result = new CompletableFuture<>();
  // Written by one attempt at a time; the next attempt starts in the callback of the previous one.
  private volatile boolean mayHaveRun;

  WriteRun(WriteContext context, WriteRequest request) {
    this.context = context;
    this.request = request;
    deadline = Deadline.after(request.timeout(), context.clock());
  }

  CompletableFuture<WriteAnswer> start() {
    context.permits().recordFirstAttempt();
    startAttempt(0);
    return result;
  }

  private void startAttempt(long minTerm) {
    if (!context.viewLeaseValid().getAsBoolean()) {
      // NOT_RUN is accurate: this attempt was not given to a connection.
      giveUp(leaseExpired(), RetryReason.FINAL);
      return;
    }
    context
        .primaryQueue()
        .await(request.group(), minTerm, deadline.remaining(context.clock()))
        .whenComplete(
            (target, failure) -> {
              if (failure != null) {
                giveUp(Futures.toAlderyardException(failure), RetryReason.NO_TIME);
              } else {
                send(target);
              }
            });
  }

  private static AlderyardException leaseExpired() {
    return AlderyardException.notRun(
        ErrorCode.VIEW_LEASE_EXPIRED, "this proxy has lost contact with the control hosts");
  }

  private void send(WriteTarget target) {
    log.info(
        "event=route kind=write pool={} group={} server={} term={} reason=PRIMARY_OF_TERM",
        request.pool().name(),
        request.group(),
        target.primary().id(),
        target.term());
    InFlightWrites.Attempt attempt = context.inFlight().register(request.group(), target.term());
    attempt
        .result()
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                result.complete(answer);
              } else {
                handleFailure(Futures.toAlderyardException(failure), target);
              }
            });
    context
        .admission()
        .acquire(request, target.primary(), deadlineNanos())
        .thenCompose(permit -> runWithPermit(permit, target, attempt))
        .thenCompose(
            response ->
                Acknowledgement.of(
                    context,
                    request.pool(),
                    request.group(),
                    target,
                    response,
                    deadline.remaining(context.clock())))
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                attempt.result().complete(answer);
              } else {
                attempt.result().completeExceptionally(failure);
              }
            });
  }

  private long deadlineNanos() {
    return context.clock().nowNanos() + deadline.remaining(context.clock()).toNanos();
  }

  private CompletableFuture<BackendResponse> runWithPermit(
      WriteAdmission.Permit permit, WriteTarget target, InFlightWrites.Attempt attempt) {
    CompletableFuture<BackendResponse> run;
    try {
      run =
          context
              .pools()
              .acquire(target.primary(), deadline.remaining(context.clock()))
              .thenCompose(connection -> runOnConnection(connection, target, attempt));
    } catch (RuntimeException failure) {
      run = CompletableFuture.failedFuture(failure);
    }
    return run.whenComplete((answer, failure) -> releasePermit(permit, failure));
  }

  /**
   * Releases the permit. A refusal by the server is an answer too; an attempt that did not run says
   * nothing about the load of the server.
   */
  private static void releasePermit(WriteAdmission.Permit permit, Throwable failure) {
    if (failure == null || Futures.unwrap(failure) instanceof BackendException) {
      permit.release(true);
    } else if (Futures.toAlderyardException(failure).outcome() == Outcome.NOT_RUN) {
      permit.releaseUnsent();
    } else {
      permit.release(false);
    }
  }

  private CompletableFuture<BackendResponse> runOnConnection(
      ServerConnection connection, WriteTarget target, InFlightWrites.Attempt attempt) {
    Duration timeLeft = deadline.remaining(context.clock());
    if (timeLeft.isZero() || !attempt.tryMarkSent(connection)) {
      context.pools().release(target.primary(), connection);
      // NOT_RUN is accurate: the connection is returned without a byte of this write.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.DEADLINE_EXCEEDED, "no connection was free before the deadline"));
    }
    if (!context.viewLeaseValid().getAsBoolean()) {
      // The lease may have expired during the wait for a primary or a connection. NOT_RUN is
      // accurate for the same reason as above.
      context.pools().release(target.primary(), connection);
      return CompletableFuture.failedFuture(leaseExpired());
    }
    return connection
        .run(statement(target.term()), timeLeft)
        .whenComplete((answer, failure) -> context.pools().release(target.primary(), connection));
  }

  private BackendStatement statement(long term) {
    return new BackendStatement(
        StatementKind.WRITE,
        request.key(),
        request.text(),
        request.parameters(),
        term,
        request.ledgerKey());
  }

  private void handleFailure(AlderyardException failure, WriteTarget target) {
    if (failure.code() == ErrorCode.CONNECTION_LOST) {
      context.onPrimaryConnectionLost().accept(request.group(), target.primary().id());
    }
    boolean ledgerDeduplicates =
        request.ledgerKey().isPresent() && context.hasServerLedger().test(request.group());
    RetryDecision decision =
        RetryPolicy.decide(
            failure, ledgerDeduplicates, !deadline.isExpired(context.clock()), context.permits());
    mayHaveRun |= failure.outcome() == Outcome.OUTCOME_UNKNOWN;
    switch (decision.action()) {
      case GIVE_UP -> giveUp(failure, decision.reason());
      case RETRY -> {
        logRetry(failure, decision);
        context.workers().schedule(RETRY_DELAY, () -> startAttempt(target.term()));
      }
      case RETRY_IN_LATER_TERM -> {
        logRetry(failure, decision);
        startAttempt(target.term() + 1);
      }
      default -> throw new IllegalStateException("unexpected action " + decision.action());
    }
  }

  private void logRetry(AlderyardException failure, RetryDecision decision) {
    log.info(
        "event=write-retry group={} code={} action={} reason={}",
        request.group(),
        failure.code(),
        decision.action(),
        decision.reason());
  }

  /**
   * Fails the write.
   *
   * <p>Once one attempt may have run, a later attempt that fails or does not run does not prove
   * that the write did not run, so the outcome is reported as unknown.
   */
  private void giveUp(AlderyardException failure, RetryReason reason) {
    boolean outcomeKnown = failure.outcome() != Outcome.OUTCOME_UNKNOWN;
    AlderyardException reported =
        mayHaveRun && outcomeKnown
            ? AlderyardException.unknown(
                failure.code(), "an earlier attempt may have run; " + failure.getMessage(), failure)
            : failure;
    log.info(
        "event=write-failed group={} code={} outcome={} reason={}",
        request.group(),
        reported.code(),
        reported.outcome(),
        reason);
    result.completeExceptionally(reported);
  }
}
