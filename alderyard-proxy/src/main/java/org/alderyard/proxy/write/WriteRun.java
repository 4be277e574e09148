package org.alderyard.proxy.write;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendException;
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

/** One write on its way: its attempts one after another, and what is known of them. */
final class WriteRun {
  private static final Logger log = LoggerFactory.getLogger(WriteRun.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);

  private final WriteParts parts;
  private final WriteRequest request;
  private final Deadline deadline;
  private final CompletableFuture<WriteAnswer> result = new CompletableFuture<>();
  // Written by one attempt at a time; the next one starts in the callback of the last.
  private volatile boolean doubt;

  WriteRun(WriteParts parts, WriteRequest request) {
    this.parts = parts;
    this.request = request;
    deadline = Deadline.after(request.timeout(), parts.clock());
  }

  CompletableFuture<WriteAnswer> start() {
    parts.permits().firstTry();
    attempt(0);
    return result;
  }

  private void attempt(long minTerm) {
    if (!parts.viewLeaseValid().getAsBoolean()) {
      // NOT_RUN holds: this attempt has been given to no connection.
      giveUp(leaseExpired(), RetryReason.FINAL);
      return;
    }
    parts
        .waiters()
        .await(request.group(), minTerm, deadline.remaining(parts.clock()))
        .whenComplete(
            (target, failure) -> {
              if (failure != null) {
                giveUp(Futures.typed(failure), RetryReason.NO_TIME);
              } else {
                send(target);
              }
            });
  }

  private static AlderyardException leaseExpired() {
    return AlderyardException.notRun(
        ErrorCode.VIEW_LEASE_EXPIRED, "this proxy has lost touch with the control hosts");
  }

  private void send(WriteTarget target) {
    log.info(
        "event=route kind=write pool={} group={} server={} term={} reason=PRIMARY_OF_TERM",
        request.pool().name(),
        request.group(),
        target.primary().id(),
        target.term());
    Flights.Flight flight = parts.flights().begin(request.group(), target.term());
    flight
        .result()
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                result.complete(answer);
              } else {
                failed(Futures.typed(failure), target);
              }
            });
    parts
        .admission()
        .enter(request, target.primary(), deadlineNanos())
        .thenCompose(turn -> inTurn(turn, target, flight))
        .thenCompose(
            answer ->
                Acknowledgement.of(
                    parts,
                    request.pool(),
                    request.group(),
                    target,
                    answer,
                    deadline.remaining(parts.clock())))
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                flight.result().complete(answer);
              } else {
                flight.result().completeExceptionally(failure);
              }
            });
  }

  private long deadlineNanos() {
    return parts.clock().nowNanos() + deadline.remaining(parts.clock()).toNanos();
  }

  private CompletableFuture<BackendAnswer> inTurn(
      WriteAdmission.Turn turn, WriteTarget target, Flights.Flight flight) {
    CompletableFuture<BackendAnswer> run;
    try {
      run =
          parts
              .pools()
              .take(target.primary(), deadline.remaining(parts.clock()))
              .thenCompose(connection -> runOn(connection, target, flight));
    } catch (RuntimeException failure) {
      run = CompletableFuture.failedFuture(failure);
    }
    return run.whenComplete((answer, failure) -> endTurn(turn, failure));
  }

  /** A refusal by the server is an answer too; what was not run says nothing of its load. */
  private static void endTurn(WriteAdmission.Turn turn, Throwable failure) {
    if (failure == null || Futures.unwrap(failure) instanceof BackendException) {
      turn.end(true);
    } else if (Futures.typed(failure).outcome() == Outcome.NOT_RUN) {
      turn.notSent();
    } else {
      turn.end(false);
    }
  }

  private CompletableFuture<BackendAnswer> runOn(
      ServerConnection connection, WriteTarget target, Flights.Flight flight) {
    Duration left = deadline.remaining(parts.clock());
    if (left.isZero() || !flight.trySend(connection)) {
      parts.pools().release(target.primary(), connection);
      // NOT_RUN holds: the connection goes back without a byte of this write.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.DEADLINE_EXCEEDED, "no connection was free before the deadline"));
    }
    if (!parts.viewLeaseValid().getAsBoolean()) {
      // The wait for a primary or a connection may have outlasted the lease. NOT_RUN holds as
      // above.
      parts.pools().release(target.primary(), connection);
      return CompletableFuture.failedFuture(leaseExpired());
    }
    return connection
        .run(statement(target.term()), left)
        .whenComplete((answer, failure) -> parts.pools().release(target.primary(), connection));
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

  private void failed(AlderyardException failure, WriteTarget target) {
    if (failure.code() == ErrorCode.CONNECTION_LOST) {
      parts.onPrimaryLost().accept(request.group(), target.primary().id());
    }
    boolean ledgerProves =
        request.ledgerKey().isPresent() && parts.ledgerOnServers().test(request.group());
    RetryDecision decision =
        RetryRule.decide(failure, ledgerProves, !deadline.over(parts.clock()), parts.permits());
    doubt |= failure.outcome() == Outcome.OUTCOME_UNKNOWN;
    switch (decision.action()) {
      case GIVE_UP -> giveUp(failure, decision.reason());
      case RETRY -> {
        logRetry(failure, decision);
        parts.workers().schedule(RETRY_DELAY, () -> attempt(target.term()));
      }
      case RETRY_IN_LATER_TERM -> {
        logRetry(failure, decision);
        attempt(target.term() + 1);
      }
      default -> throw new IllegalStateException("action " + decision.action());
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
   * Ends the write with a failure.
   *
   * <p>Guards against a false promise: once one attempt may have run, a later attempt that did not
   * run, or failed, proves nothing of the write as a whole.
   */
  private void giveUp(AlderyardException failure, RetryReason reason) {
    boolean certain = failure.outcome() != Outcome.OUTCOME_UNKNOWN;
    AlderyardException told =
        doubt && certain
            ? AlderyardException.unknown(
                failure.code(), "an earlier attempt may have run; " + failure.getMessage(), failure)
            : failure;
    log.info(
        "event=write-failed group={} code={} outcome={} reason={}",
        request.group(),
        told.code(),
        told.outcome(),
        reason);
    result.completeExceptionally(told);
  }
}
