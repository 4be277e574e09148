package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One statement of an open transaction: the first one looks for a connection, the others run on it.
 *
 * <p>A transaction that loses its connection before its commit was sent keeps nothing, as its
 * server rolls it back; only a commit that may have arrived leaves a doubt.
 */
final class TransactionStatement {
  private static final Logger log = LoggerFactory.getLogger(TransactionStatement.class);

  /** A busy server is asked again this often within a transaction, at this pause. */
  private static final int BUSY_REPEATS = 8;

  private static final Duration BUSY_PAUSE = Duration.ofMillis(12);

  private final CallerSession session;
  private final OpenTransaction open;
  private final StatementTask task;
  private final SessionParts parts;

  TransactionStatement(CallerSession session, OpenTransaction open, StatementTask task) {
    this.session = session;
    this.open = open;
    this.task = task;
    this.parts = session.parts();
  }

  /** Runs it; the future never fails. */
  CompletableFuture<SessionReply> run() {
    if (task.kind() == StatementKind.WRITE) {
      open.wrote();
    }
    Optional<StatementRun.Pinned> pinned = open.pinned();
    if (pinned.isPresent()) {
      return onPinned(pinned.get(), 0);
    }
    CompletableFuture<Optional<GroupRouting.Floor>> floor =
        open.readOnly()
            ? session.floor(open.database())
            : CompletableFuture.completedFuture(Optional.empty());
    return floor
        .thenApply(f -> f.map(ServerDemand::readTransaction).orElseGet(ServerDemand::transaction))
        .thenCompose(demand -> new StatementRun(parts, task, demand).run())
        .thenApply(
            result -> {
              result
                  .pinned()
                  .filter(unpinned -> !open.pin(unpinned))
                  .ifPresent(
                      unpinned -> parts.rollBackAndRelease(unpinned.server(), unpinned.session()));
              if (result.reply().state() != TransactionState.OPEN) {
                session.rollBack();
              }
              return result.reply();
            });
  }

  private CompletableFuture<SessionReply> onPinned(StatementRun.Pinned pinned, int repeats) {
    GroupRouting routing = parts.routings().of(open.database().group());
    PooledSession connection = pinned.session();
    List<SessionRequest> requests = connection.adopt(task.values(), task.prepared(), false);
    requests.add(task.request());
    long sent = parts.clock().nowNanos();
    Duration timeout = Duration.ofNanos(Math.max(1, task.deadlineNanos() - sent));
    routing.started(pinned.server(), sent);
    return connection
        .run(requests, timeout)
        .handle(
            (replies, failure) -> {
              routing.ended(pinned.server());
              if (failure != null) {
                return lost(pinned, Futures.typed(failure));
              }
              return answered(pinned, replies, sent, repeats);
            })
        .thenCompose(reply -> reply);
  }

  private CompletableFuture<SessionReply> lost(
      StatementRun.Pinned pinned, AlderyardException failure) {
    parts.routings().of(open.database().group()).doubted(pinned.server(), parts.clock().nowNanos());
    open.end();
    parts.discard(pinned.server(), pinned.session());
    session.transactionEnded();
    boolean inDoubt = task.ending() && open.hasWritten();
    log.warn(
        "event=transaction-lost id={} database={} server={} incarnation={} commit={} wrote={}"
            + " reason={} outcome={}",
        task.request().id().orElse("-"),
        open.database().name(),
        pinned.server().id(),
        pinned.server().incarnation(),
        task.ending(),
        open.hasWritten(),
        failure.code(),
        inDoubt ? "OUTCOME_UNKNOWN" : "NOT_KEPT");
    return CompletableFuture.completedFuture(
        SessionReply.refused(
            inDoubt ? RefusalCode.IN_DOUBT : RefusalCode.ABORTED,
            "the connection to the server was lost",
            task.ending() ? TransactionState.NONE : TransactionState.FAILED));
  }

  private CompletableFuture<SessionReply> answered(
      StatementRun.Pinned pinned, List<SessionReply> replies, long sent, int repeats) {
    long now = parts.clock().nowNanos();
    SessionReply reply = replies.get(replies.size() - 1);
    GroupRouting routing = parts.routings().of(open.database().group());
    boolean ran = !StatementAttempt.notRun(reply);
    routing.answered(pinned.server(), now, now - sent, ran, reply.position());
    if (reply.succeeded()) {
      if (task.ending()) {
        committed(pinned, reply, sent);
        return CompletableFuture.completedFuture(reply.inState(TransactionState.NONE));
      }
      return CompletableFuture.completedFuture(reply.inState(TransactionState.OPEN));
    }
    boolean stillOpen = reply.state() == TransactionState.OPEN;
    if (reply.refusedWith(RefusalCode.BUSY) && stillOpen && repeats < BUSY_REPEATS) {
      CompletableFuture<Void> pause = new CompletableFuture<>();
      parts.workers().schedule(BUSY_PAUSE, () -> pause.complete(null));
      return pause.thenCompose(waited -> onPinned(pinned, repeats + 1));
    }
    if (reply.refusedWith(RefusalCode.NOT_PRIMARY)) {
      parts
          .group(open.database().group())
          .ifPresent(group -> routing.doesNotLead(pinned.server(), group));
    }
    log.info(
        "event=transaction-refused id={} database={} server={} commit={} code={}",
        task.request().id().orElse("-"),
        open.database().name(),
        pinned.server().id(),
        task.ending(),
        reply.refusal().orElseThrow().code());
    session.rollBack();
    return CompletableFuture.completedFuture(
        reply.inState(task.ending() ? TransactionState.NONE : TransactionState.FAILED));
  }

  private void committed(StatementRun.Pinned pinned, SessionReply reply, long sent) {
    open.end();
    session.transactionEnded();
    if (open.hasWritten()) {
      session.remember(open.database(), reply);
      reply
          .position()
          .ifPresent(
              position -> parts.routings().of(open.database().group()).sampled(sent, position));
    }
    if (reply.state() == TransactionState.NONE) {
      parts.release(pinned.server(), pinned.session());
    } else {
      parts.rollBackAndRelease(pinned.server(), pinned.session());
    }
  }
}
