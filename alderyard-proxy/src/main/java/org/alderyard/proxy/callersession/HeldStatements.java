package org.alderyard.proxy.callersession;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.data.DataMethods;
import org.alderyard.protocol.generated.statement.EndHeldTransactionReply;
import org.alderyard.protocol.generated.statement.EndHeldTransactionRequest;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;
import org.alderyard.protocol.wire.Dispatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs statements of other hosts' callers over this host's connections. */
final class HeldStatements {
  private static final Logger log = LoggerFactory.getLogger(HeldStatements.class);

  /**
   * The caller's host ends an idle transaction. A transaction that is idle for this multiple of the
   * idle timeout is rolled back here, as the caller's host may have failed.
   */
  private static final int IDLE_FACTOR = 2;

  private static final long DEFAULT_IDLE_MILLIS = 60_000;

  private final LocalStatements local;
  private final SessionContext context;
  private final Map<Key, HeldTransaction> transactions = new ConcurrentHashMap<>();
  private volatile boolean stopping;

  /**
   * Identifies a transaction by the host of its caller, the incarnation of that host, and the
   * number that the host assigned.
   */
  private record Key(HostId host, long incarnation, long transaction) {
    static Key of(String host, long incarnation, long transaction) {
      return new Key(new HostId(host), incarnation, transaction);
    }
  }

  HeldStatements(LocalStatements local) {
    this.local = local;
    this.context = local.context();
  }

  void registerMethods(Dispatcher dispatcher) {
    dispatcher.serveOnNetworkThread(
        DataMethods.RUN_HELD_STATEMENT, (peer, request) -> run(request));
    dispatcher.serveOnNetworkThread(
        DataMethods.END_HELD_TRANSACTION, (peer, request) -> end(request));
  }

  /**
   * Runs a statement of another host's caller.
   *
   * @throws AlderyardException with the outcome {@code NOT_RUN} if this host is shutting down, if
   *     its view does not have the group, or if the statement can't be decoded
   */
  CompletableFuture<HeldStatementReply> run(HeldStatementRequest request) {
    long now = context.clock().nowNanos();
    ViewLookup arrival = new ViewLookup(context.views().current().version(), now);
    StatementTask task = HeldStatementCodec.task(request, arrival);
    Optional<GroupRouting.Floor> lastWrite = HeldStatementCodec.lastWrite(request, now);
    Key key = Key.of(request.getHost(), request.getIncarnation(), request.getTransaction());
    if (request.getTransaction() != 0 && !request.getFirst()) {
      return runInTransaction(key, task).thenApply(HeldStatementCodec::replyMessage);
    }
    checkAccepts(task.database().group());
    if (request.getTransaction() == 0) {
      return local.single(task, lastWrite).thenApply(HeldStatementCodec::replyMessage);
    }
    OpenTransaction open =
        new OpenTransaction(task.database(), task.owner(), request.getReadOnly(), now);
    HeldTransaction transaction =
        new HeldTransaction(local, open, lastWrite, () -> transactions.remove(key));
    transactions.put(key, transaction);
    return transaction.run(task).thenApply(HeldStatementCodec::replyMessage);
  }

  private void checkAccepts(GroupId group) {
    if (stopping) {
      throw AlderyardException.notRun(ErrorCode.DRAINING, "this host is shutting down");
    }
    if (context.group(group).isEmpty()) {
      throw AlderyardException.notRun(
          ErrorCode.NO_ELIGIBLE_SERVER, "this host's view has no group " + group);
    }
  }

  private CompletableFuture<SessionReply> runInTransaction(Key key, StatementTask task) {
    HeldTransaction transaction = transactions.get(key);
    if (transaction != null) {
      return transaction.run(task);
    }
    log.info(
        "event=held-transaction-unknown id={} host={} commit={} outcome=NOT_KEPT",
        task.loggedId(),
        key.host(),
        task.endsTransaction());
    return CompletableFuture.completedFuture(HeldTransaction.abortedReply(task));
  }

  CompletableFuture<EndHeldTransactionReply> end(EndHeldTransactionRequest request) {
    Key key = Key.of(request.getHost(), request.getIncarnation(), request.getTransaction());
    Optional.ofNullable(transactions.get(key)).ifPresent(HeldTransaction::requestEnd);
    return CompletableFuture.completedFuture(EndHeldTransactionReply.getDefaultInstance());
  }

  /**
   * Rolls back transactions that have exceeded their idle time or whose caller's host has
   * restarted.
   */
  void endAbandoned(long nowNanos) {
    long idleMillis =
        context
            .views()
            .current()
            .configuration()
            .map(ConfigurationState::transactionIdleMillis)
            .filter(millis -> millis > 0)
            .map(millis -> (long) IDLE_FACTOR * millis)
            .orElse(DEFAULT_IDLE_MILLIS);
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(idleMillis);
    transactions.forEach(
        (key, transaction) -> {
          if (transaction.isIdleFor(nowNanos, idleNanos) || callerHostRestarted(key)) {
            log.info("event=held-transaction-ended host={} reason=abandoned", key.host());
            transaction.requestEnd();
          }
        });
  }

  private boolean callerHostRestarted(Key key) {
    HostState host = context.views().current().hosts().get(key.host());
    return host != null && host.incarnation() > key.incarnation();
  }

  /** Refuses new statements and transactions of other hosts; open transactions continue. */
  void stopAccepting() {
    stopping = true;
  }

  /** Rolls back all open transactions, when this host shuts down. */
  void rollBackAll() {
    transactions.values().forEach(HeldTransaction::requestEnd);
  }

  int openTransactionCount() {
    return transactions.size();
  }
}
