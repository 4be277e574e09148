package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.serverhealth.ReadOutcome;

/**
 * One attempt to run a statement on one server: acquires a connection, applies the session values,
 * begins a transaction if required, sends the statement and evaluates the reply.
 */
final class StatementAttempt {

  /**
   * A begin takes no slot, so a server that does not answer it within this time counts as
   * unreachable.
   */
  private static final long SETUP_TIMEOUT_MILLIS = 400;

  /**
   * A read without a response is hedged on a second server after this multiple of the average
   * latency.
   */
  private static final double HEDGE_LATENCY_FACTOR = 6;

  /** Minimum hedging delay, so that a load that slows down all servers is not doubled. */
  private static final long MIN_HEDGE_DELAY_MILLIS = 120;

  private final StatementRun run;
  private final ServerState server;
  private final SessionContext context;
  private final StatementTask task;
  private final ServerRequirement requirement;
  private final GroupRouting routing;
  private final AttemptLog log;
  private long startedNanos;
  private long sentNanos;

  StatementAttempt(StatementRun run, ServerState server) {
    this.run = run;
    this.server = server;
    this.context = run.context();
    this.task = run.task();
    this.requirement = run.requirement();
    this.routing = run.routing();
    this.log = new AttemptLog(context, task, requirement, server);
  }

  void start(long now) {
    startedNanos = now;
    routing.started(server, now);
    context
        .pools()
        .acquire(server, task.owner(), task.database().priority(), run.remainingSearchTime(now))
        .whenComplete(
            (session, failure) -> {
              context.metrics().recordConnectionWait(context.clock().nowNanos() - now);
              if (failure != null) {
                connectionFailed(Futures.unwrap(failure));
              } else if (run.isDone()) {
                context.release(server, session);
                endAttempt();
              } else {
                setUp(session);
              }
            });
  }

  private void connectionFailed(Throwable failure) {
    boolean refused = failure instanceof ConnectRefusedException;
    if (refused && ((ConnectRefusedException) failure).refusal() == RefusalCode.WRONG_SERVER) {
      routing.recordReplaced(server);
    } else if (!StatementRun.isConnectionLimit(failure)) {
      routing.failed(server, context.clock().nowNanos());
      recordRead(ReadOutcome.FAILED, 0, context.clock().nowNanos());
    }
    run.recordFailure(server, Futures.toAlderyardException(failure).code());
    retryElsewhere();
  }

  private void endAttempt() {
    routing.ended(server);
    run.attemptEnded();
  }

  /**
   * Ends this attempt and tries another server; the statement has had no lasting effect on this
   * one.
   */
  private void retryElsewhere() {
    endAttempt();
    run.tryNextServer();
  }

  private void setUp(PooledSession session) {
    List<SessionRequest> setup = session.setupRequests(task.values(), task.prepared(), true);
    requirement
        .begin()
        .ifPresent(
            readOnly -> {
              SessionRequest begin = SessionRequest.internal(new Begin(readOnly));
              setup.add(
                  requirement.floor().map(floor -> begin.after(floor.position())).orElse(begin));
            });
    if (setup.isEmpty()) {
      send(session);
      return;
    }
    long setupSentNanos = context.clock().nowNanos();
    session
        .run(setup, run.remainingTime(SETUP_TIMEOUT_MILLIS))
        .whenComplete(
            (replies, failure) -> {
              if (failure != null) {
                lostDuringSetup(session);
              } else {
                setupCompleted(session, setupSentNanos, replies);
              }
            });
  }

  private void lostDuringSetup(PooledSession session) {
    routing.failed(server, context.clock().nowNanos());
    run.recordFailure(server, "lost-before-sending");
    context.discard(server, session);
    retryElsewhere();
  }

  private void setupCompleted(
      PooledSession session, long setupSentNanos, List<SessionReply> replies) {
    long now = context.clock().nowNanos();
    SessionReply lastReply = replies.get(replies.size() - 1);
    int setupCount = requirement.begin().isPresent() ? replies.size() - 1 : replies.size();
    if (replies.subList(0, setupCount).stream().anyMatch(reply -> !reply.succeeded())) {
      run.recordFailure(server, "values-refused");
      context.discard(server, session);
      retryElsewhere();
      return;
    }
    routing.answered(server, now, now - setupSentNanos, false, lastReply.position());
    if (requirement.begin().isPresent() && !lastReply.succeeded()) {
      beginRefused(session, lastReply);
      return;
    }
    if (requirement.needsPrimary() && requirement.begin().isPresent()) {
      routing.confirmPrimary(server);
      lastReply.position().ifPresent(position -> routing.addSample(setupSentNanos, position));
    }
    send(session);
  }

  private void beginRefused(PooledSession session, SessionReply refusal) {
    recordRefusal(refusal);
    if (refusal.state() == TransactionState.NONE) {
      context.release(server, session);
    } else {
      context.rollBackAndRelease(server, session);
    }
    retryElsewhere();
  }

  /** Records what came back, unless only the primary could run the statement. */
  private void recordRead(ReadOutcome outcome, long tookNanos, long nowNanos) {
    if (!requirement.needsPrimary() && task.kind() == StatementKind.READ) {
      routing.recordRead(server, outcome, tookNanos, nowNanos);
    }
  }

  /** Records why a server refused. */
  private void recordRefusal(SessionReply refused) {
    RefusalCode code = refused.refusal().orElseThrow().code();
    context.metrics().countServerRefusal(code);
    run.recordFailure(server, code);
    long now = context.clock().nowNanos();
    if (code == RefusalCode.NOT_PRIMARY) {
      context
          .group(task.database().group())
          .ifPresent(group -> routing.recordNotPrimary(server, group));
    } else if (code == RefusalCode.BEHIND) {
      requirement.floor().ifPresent(floor -> routing.recordMissingPosition(server, floor, now));
    } else if (code == RefusalCode.BUSY) {
      routing.recordBusy(server, now);
      int inFlight = routing.observe(server, Optional.empty(), true, now).inFlight();
      routing.admission().recordBusy(server.id(), server.incarnation(), inFlight);
    }
  }

  private void send(PooledSession session) {
    sentNanos = context.clock().nowNanos();
    log.sending(sentNanos);
    SessionRequest request =
        requirement.begin().isEmpty()
            ? requirement
                .floor()
                .map(floor -> task.request().after(floor.position()))
                .orElse(task.request())
            : task.request();
    if (isRepeatable() && !requirement.keepOpen()) {
      scheduleHedge();
    }
    session
        .run(List.of(request), run.timeUntilDeadline())
        .whenComplete(
            (replies, failure) -> {
              if (failure != null) {
                responseLost(session, Futures.toAlderyardException(failure));
              } else {
                replyReceived(session, replies.get(0));
              }
            });
  }

  /**
   * Returns whether the statement may be repeated on another connection. A commit or rollback may
   * not: a transaction runs on one connection and ends when that connection is lost.
   */
  private boolean isRepeatable() {
    return task.kind() == StatementKind.READ && !task.endsTransaction();
  }

  /**
   * Schedules a hedged attempt, which covers a read whose response is lost or whose connection is
   * unresponsive.
   */
  private void scheduleHedge() {
    long millis =
        Math.max(
            MIN_HEDGE_DELAY_MILLIS, (long) (routing.latencyMillis(server) * HEDGE_LATENCY_FACTOR));
    var timer =
        context
            .workers()
            .schedule(
                Duration.ofMillis(millis),
                () -> {
                  if (!run.reserveHedge()) {
                    return;
                  }
                  context.metrics().countReadResend();
                  run.recordFailure(server, "slow");
                  run.tryNextServer();
                });
    run.whenDone(() -> timer.cancel(false));
  }

  private void responseLost(PooledSession session, AlderyardException failure) {
    long now = context.clock().nowNanos();
    if (failure.code() == ErrorCode.DEADLINE_EXCEEDED && !requirement.needsPrimary()) {
      routing.failed(server, now);
    } else {
      routing.responseLost(server, now);
    }
    recordRead(ReadOutcome.FAILED, now - sentNanos, now);
    context.metrics().countLostReply();
    run.recordLostReply();
    run.recordFailure(server, "lost-after-sending");
    context.discard(server, session);
    boolean deadlinePassed = task.deadlineNanos() - now <= 0;
    boolean mayRepeat = isRepeatable() && !requirement.keepOpen();
    if (mayRepeat && !deadlinePassed && run.tryEndBesideOther()) {
      routing.ended(server);
    } else if (mayRepeat && (deadlinePassed || !context.admission().tryResend())) {
      endAttempt();
      run.complete(
          SessionReply.refused(
              RefusalCode.TIMED_OUT,
              deadlinePassed
                  ? "the server did not answer before the deadline"
                  : "the connection to the server was lost",
              stateAfterRefusal()),
          Optional.empty());
    } else if (mayRepeat) {
      retryElsewhere();
    } else {
      endAttempt();
      boolean nothingCommitted = requirement.keepOpen();
      log.lost(failure.code(), nothingCommitted, now, sentNanos);
      run.complete(
          SessionReply.refused(
              nothingCommitted ? RefusalCode.ABORTED : RefusalCode.IN_DOUBT,
              "the connection to the server was lost",
              stateAfterRefusal()),
          Optional.empty());
    }
  }

  private TransactionState stateAfterRefusal() {
    return requirement.keepOpen() && !task.endsTransaction()
        ? TransactionState.FAILED
        : TransactionState.NONE;
  }

  private void replyReceived(PooledSession session, SessionReply reply) {
    long now = context.clock().nowNanos();
    routing.answered(server, now, now - sentNanos, !refusedBeforeRun(reply), reply.position());
    context.metrics().recordServerTime(now - sentNanos);
    if (!refusedBeforeRun(reply)) {
      routing.admission().recordServed(server.id(), server.incarnation(), now - startedNanos);
    }
    if (reply.succeeded()) {
      recordRead(ReadOutcome.ANSWERED, now - sentNanos, now);
      log.succeeded(now, sentNanos, run.attemptCount());
      handleSuccess(session, reply);
      return;
    }
    RefusalCode code = reply.refusal().orElseThrow().code();
    recordRefusal(reply);
    boolean preparedStatementLost = code == RefusalCode.NOT_PREPARED && task.prepared().isPresent();
    if (preparedStatementLost && run.allowPrepareRetry(server)) {
      releaseConnection(session, reply);
      retryElsewhere();
      return;
    }
    if (code == RefusalCode.FAILED) {
      routing.recordFailed(server, now);
      recordRead(ReadOutcome.FAILED, now - sentNanos, now);
    } else if (code == RefusalCode.BUSY) {
      recordRead(ReadOutcome.REFUSED, now - sentNanos, now);
    }
    // The first read of a transaction too: the server rolls back, and the caller knows of nothing.
    boolean mayRetryFailure =
        code == RefusalCode.FAILED
            && isRepeatable()
            && run.storeFailure(reply.withState(stateAfterRefusal()));
    releaseConnection(session, reply);
    if (refusedBeforeRun(reply) && !(task.endsTransaction() && code == RefusalCode.NOT_PRIMARY)) {
      retryElsewhere();
    } else if (mayRetryFailure && run.tryEndBesideOther()) {
      routing.ended(server);
    } else if (mayRetryFailure && context.admission().tryResend()) {
      retryElsewhere();
    } else {
      endAttempt();
      log.failed(code, now, sentNanos, run.attemptCount());
      SessionReply visible = preparedStatementLost ? preparedStatementLost() : reply;
      run.complete(visible.withState(stateAfterRefusal()), Optional.empty());
    }
  }

  /** Returns the reply to a caller whose prepared statement a server loses again and again. */
  private SessionReply preparedStatementLost() {
    return SessionReply.refused(
        RefusalCode.ABORTED, PinnedStatement.PREPARED_STATEMENT_LOST, stateAfterRefusal());
  }

  /** Returns whether the server refused the statement before assigning it a slot. */
  static boolean refusedBeforeRun(SessionReply reply) {
    return reply.refusedWith(RefusalCode.BUSY)
        || reply.refusedWith(RefusalCode.NOT_PRIMARY)
        || reply.refusedWith(RefusalCode.BEHIND);
  }

  private void releaseConnection(PooledSession session, SessionReply reply) {
    if (requirement.begin().isPresent() || reply.state() != TransactionState.NONE) {
      context.rollBackAndRelease(server, session);
    } else {
      context.release(server, session);
    }
  }

  private void handleSuccess(PooledSession session, SessionReply reply) {
    if (task.kind() == StatementKind.WRITE && requirement.begin().isEmpty()) {
      routing.confirmPrimary(server);
      reply.position().ifPresent(position -> routing.addSample(sentNanos, position));
    }
    endAttempt();
    if (requirement.keepOpen() && !task.endsTransaction()) {
      PinnedConnection pinned = new PinnedConnection(context, server, session);
      if (!run.complete(reply.withState(TransactionState.OPEN), Optional.of(pinned))) {
        context.rollBackAndRelease(server, session);
      }
      return;
    }
    run.complete(reply.withState(TransactionState.NONE), Optional.empty());
    if (requirement.begin().isPresent() && reply.state() != TransactionState.NONE) {
      context.rollBackAndRelease(server, session);
    } else {
      context.release(server, session);
    }
  }
}
