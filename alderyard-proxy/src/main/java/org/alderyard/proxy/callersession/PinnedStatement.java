package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.view.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A statement of an open transaction that runs on the transaction's connection of this host.
 *
 * <p>If the connection is lost before the commit was sent, the server rolls the transaction back.
 * The outcome is unknown only if a commit may have reached the server.
 */
final class PinnedStatement {
  private static final Logger log = LoggerFactory.getLogger(PinnedStatement.class);

  /**
   * Maximum number of retries on a busy server within a transaction, and the delay between them.
   */
  private static final int MAX_BUSY_RETRIES = 8;

  private static final Duration BUSY_RETRY_DELAY = Duration.ofMillis(12);

  /** The text for callers whose prepared statement exists, while the server does not know it. */
  static final String PREPARED_STATEMENT_LOST = "the server has lost a prepared statement";

  private final SessionContext context;
  private final ServerState server;
  private final PooledSession connection;
  private final TransactionOwner owner;
  private final OpenTransaction open;
  private final StatementTask task;

  PinnedStatement(
      SessionContext context,
      PinnedConnection pinned,
      TransactionOwner owner,
      OpenTransaction open,
      StatementTask task) {
    this.context = context;
    this.server = pinned.server();
    this.connection = pinned.session();
    this.owner = owner;
    this.open = open;
    this.task = task;
  }

  /** Runs the statement. The future never fails. */
  CompletableFuture<SessionReply> run() {
    return run(0);
  }

  private CompletableFuture<SessionReply> run(int retries) {
    GroupRouting routing = context.routings().of(open.database().group());
    List<SessionRequest> requests = connection.setupRequests(task.values(), task.prepared(), false);
    requests.add(task.request());
    long sentNanos = context.clock().nowNanos();
    Duration timeout = Duration.ofNanos(Math.max(1, task.deadlineNanos() - sentNanos));
    routing.started(server, sentNanos);
    return connection
        .run(requests, timeout)
        .handle(
            (replies, failure) -> {
              routing.ended(server);
              if (failure != null) {
                return handleConnectionLoss(Futures.toAlderyardException(failure));
              }
              return handleReplies(replies, sentNanos, retries);
            })
        .thenCompose(reply -> reply);
  }

  private CompletableFuture<SessionReply> handleConnectionLoss(AlderyardException failure) {
    context.routings().of(open.database().group()).responseLost(server, context.clock().nowNanos());
    open.end();
    context.discard(server, connection);
    owner.transactionEnded();
    boolean inDoubt = task.endsTransaction() && open.hasWritten();
    log.warn(
        "event=transaction-lost id={} database={} server={} incarnation={} commit={} wrote={}"
            + " reason={} outcome={}",
        task.loggedId(),
        open.database().name(),
        server.id(),
        server.incarnation(),
        task.endsTransaction(),
        open.hasWritten(),
        failure.code(),
        inDoubt ? "OUTCOME_UNKNOWN" : "NOT_KEPT");
    return CompletableFuture.completedFuture(
        SessionReply.refused(
            inDoubt ? RefusalCode.IN_DOUBT : RefusalCode.ABORTED,
            "the connection to the server was lost",
            task.endsTransaction() ? TransactionState.NONE : TransactionState.FAILED));
  }

  private CompletableFuture<SessionReply> handleReplies(
      List<SessionReply> replies, long sentNanos, int retries) {
    long now = context.clock().nowNanos();
    SessionReply reply = outcome(replies);
    GroupRouting routing = context.routings().of(open.database().group());
    boolean ran = !StatementAttempt.refusedBeforeRun(reply);
    routing.answered(server, now, now - sentNanos, ran, reply.position());
    if (reply.succeeded()) {
      if (task.endsTransaction()) {
        handleCommit(reply, sentNanos);
        return CompletableFuture.completedFuture(reply.withState(TransactionState.NONE));
      }
      return CompletableFuture.completedFuture(reply.withState(TransactionState.OPEN));
    }
    boolean stillOpen = reply.state() == TransactionState.OPEN;
    if (reply.refusedWith(RefusalCode.BUSY) && stillOpen && retries < MAX_BUSY_RETRIES) {
      CompletableFuture<Void> retryDelay = new CompletableFuture<>();
      context.workers().schedule(BUSY_RETRY_DELAY, () -> retryDelay.complete(null));
      return retryDelay.thenCompose(ignored -> run(retries + 1));
    }
    if (reply.refusedWith(RefusalCode.NOT_PRIMARY)) {
      context
          .group(open.database().group())
          .ifPresent(group -> routing.recordNotPrimary(server, group));
    }
    log.info(
        "event=transaction-refused id={} database={} server={} commit={} code={}",
        task.loggedId(),
        open.database().name(),
        server.id(),
        task.endsTransaction(),
        reply.refusal().orElseThrow().code());
    owner.rollBack();
    return CompletableFuture.completedFuture(
        reply.withState(task.endsTransaction() ? TransactionState.NONE : TransactionState.FAILED));
  }

  /**
   * Returns the reply that decides the statement: its own, or the first refusal of a value or
   * prepared statement in front of it.
   *
   * <p>Such a refusal decides if the transaction has failed with it, because even a commit that the
   * server accepts then rolls back, and if the statement ran without the value.
   */
  private SessionReply outcome(List<SessionReply> replies) {
    SessionReply last = replies.get(replies.size() - 1);
    Optional<SessionReply> refusedSetup =
        replies.subList(0, replies.size() - 1).stream()
            .filter(reply -> !reply.succeeded())
            .findFirst();
    boolean ranWithoutSetup = last.succeeded() && !task.endsTransaction();
    return refusedSetup
        .filter(refused -> refused.state() == TransactionState.FAILED || ranWithoutSetup)
        .map(refused -> abortedIfLost(refused).withState(TransactionState.FAILED))
        .orElseGet(() -> abortedIfLost(last));
  }

  /** Hides from the caller, whose prepared statement exists, that the server has lost it. */
  private SessionReply abortedIfLost(SessionReply reply) {
    boolean lost = reply.refusedWith(RefusalCode.NOT_PREPARED) && task.prepared().isPresent();
    return lost
        ? SessionReply.refused(RefusalCode.ABORTED, PREPARED_STATEMENT_LOST, reply.state())
        : reply;
  }

  private void handleCommit(SessionReply reply, long sentNanos) {
    open.end();
    owner.transactionEnded();
    if (open.hasWritten()) {
      owner.recordWrite(open.database(), reply);
      reply
          .position()
          .ifPresent(
              position ->
                  context.routings().of(open.database().group()).addSample(sentNanos, position));
    }
    if (reply.state() == TransactionState.NONE) {
      context.release(server, connection);
    } else {
      context.rollBackAndRelease(server, connection);
    }
  }
}
