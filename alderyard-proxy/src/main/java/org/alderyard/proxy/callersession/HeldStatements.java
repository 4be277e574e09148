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

/** Runs the statements of other hosts' callers over this host's connections. */
final class HeldStatements {
  private static final Logger log = LoggerFactory.getLogger(HeldStatements.class);

  /**
   * The host that has the caller ends an idle transaction itself; one that is idle for this many
   * times as long is ended here, as that host may be gone.
   */
  private static final int IDLE_FACTOR = 2;

  private static final long IDLE_MILLIS_WITHOUT_BOUND = 60_000;

  private final LocalStatements here;
  private final SessionParts parts;
  private final Map<Key, HeldTransaction> transactions = new ConcurrentHashMap<>();
  private volatile boolean stopping;

  /** A transaction by the host that has its caller. */
  private record Key(HostId host, long incarnation, long transaction) {
    static Key of(String host, long incarnation, long transaction) {
      return new Key(new HostId(host), incarnation, transaction);
    }
  }

  HeldStatements(LocalStatements here) {
    this.here = here;
    this.parts = here.parts();
  }

  void serve(Dispatcher dispatcher) {
    dispatcher.serve(DataMethods.RUN_HELD_STATEMENT, (peer, request) -> run(request));
    dispatcher.serve(DataMethods.END_HELD_TRANSACTION, (peer, request) -> end(request));
  }

  /** Runs a statement of another host's caller. */
  CompletableFuture<HeldStatementReply> run(HeldStatementRequest request) {
    long now = parts.clock().nowNanos();
    StatementTask task = HeldStatementCodec.task(request, now);
    Optional<GroupRouting.Floor> written = HeldStatementCodec.written(request, now);
    Key key = Key.of(request.getHost(), request.getIncarnation(), request.getTransaction());
    if (request.getTransaction() != 0 && !request.getFirst()) {
      return further(key, task).thenApply(HeldStatementCodec::replyMessage);
    }
    checkServes(task.database().group());
    if (request.getTransaction() == 0) {
      return here.single(task, written).thenApply(HeldStatementCodec::replyMessage);
    }
    OpenTransaction open = new OpenTransaction(task.database(), request.getReadOnly(), now);
    HeldTransaction transaction =
        new HeldTransaction(here, open, written, () -> transactions.remove(key));
    transactions.put(key, transaction);
    return transaction.run(task).thenApply(HeldStatementCodec::replyMessage);
  }

  private void checkServes(GroupId group) {
    if (stopping) {
      throw AlderyardException.notRun(ErrorCode.DRAINING, "this host stops");
    }
    if (parts.group(group).isEmpty()) {
      throw AlderyardException.notRun(
          ErrorCode.NO_ELIGIBLE_SERVER, "this host does not know group " + group);
    }
  }

  private CompletableFuture<SessionReply> further(Key key, StatementTask task) {
    HeldTransaction transaction = transactions.get(key);
    if (transaction != null) {
      return transaction.run(task);
    }
    log.info(
        "event=held-transaction-unknown id={} host={} commit={} outcome=NOT_KEPT",
        task.request().id().orElse("-"),
        key.host(),
        task.ending());
    return CompletableFuture.completedFuture(HeldTransaction.ended(task));
  }

  CompletableFuture<EndHeldTransactionReply> end(EndHeldTransactionRequest request) {
    Key key = Key.of(request.getHost(), request.getIncarnation(), request.getTransaction());
    Optional.ofNullable(transactions.get(key)).ifPresent(HeldTransaction::rollBack);
    return CompletableFuture.completedFuture(EndHeldTransactionReply.getDefaultInstance());
  }

  /** Ends the transactions that nobody will go on with. */
  void sweep(long nowNanos) {
    long idleMillis =
        parts
            .views()
            .current()
            .configuration()
            .map(ConfigurationState::transactionIdleMillis)
            .filter(millis -> millis > 0)
            .map(millis -> (long) IDLE_FACTOR * millis)
            .orElse(IDLE_MILLIS_WITHOUT_BOUND);
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(idleMillis);
    transactions.forEach(
        (key, transaction) -> {
          if (transaction.idleFor(nowNanos, idleNanos) || callerHostGone(key)) {
            log.info("event=held-transaction-ended host={} reason=abandoned", key.host());
            transaction.rollBack();
          }
        });
  }

  private boolean callerHostGone(Key key) {
    HostState host = parts.views().current().hosts().get(key.host());
    return host != null && host.incarnation() > key.incarnation();
  }

  /** Takes no new work of other hosts any more. */
  void stop() {
    stopping = true;
  }

  /** Ends what is open: this host shuts down. */
  void abort() {
    transactions.values().forEach(HeldTransaction::rollBack);
  }

  int openTransactions() {
    return transactions.size();
  }
}
