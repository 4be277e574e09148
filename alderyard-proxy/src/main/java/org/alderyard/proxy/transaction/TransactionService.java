package org.alderyard.proxy.transaction;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.PoolState;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WritePath;
import org.alderyard.proxy.write.WriteTarget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the transactions that callers opened at this proxy.
 *
 * <p>A connection belongs to one transaction from before its begin until after its end, so that it
 * never carries statements of two transactions. It returns to the pool only after the server has
 * answered the end. If the state of the transaction is uncertain, the connection is closed and the
 * server rolls back.
 */
public final class TransactionService implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(TransactionService.class);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private final HostId self;
  private final long incarnation;
  private final WritePath writes;
  private final ServerPools pools;
  private final TransactionTable table;
  private final RandomGenerator random;
  private final MonotonicClock clock;

  /** Creates a service without transactions; limits are enforced after {@link #start}. */
  public TransactionService(
      HostId self,
      long incarnation,
      WritePath writes,
      ServerPools pools,
      TransactionLimits limits,
      RandomGenerator random,
      MonotonicClock clock) {
    this.self = self;
    this.incarnation = incarnation;
    this.writes = writes;
    this.pools = pools;
    this.random = random;
    this.clock = clock;
    table = new TransactionTable(limits);
  }

  /** Starts the periodic check that ends transactions which exceed their limits. */
  public void start(WorkerPool workers) {
    workers.scheduleRepeatedly(CHECK_INTERVAL, this::endExpired);
  }

  /** Returns whether this process holds or held a transaction. */
  public boolean isHolderOf(TransactionId id) {
    return id.holder().equals(self) && id.incarnation() == incarnation;
  }

  /** Opens a transaction on the primary of a group. */
  public CompletableFuture<TransactionId> begin(
      CallerId caller, PoolState pool, GroupId group, Duration timeout) {
    table.reserve();
    return writes
        .awaitPrimary(group, timeout)
        .thenCompose(
            target ->
                pools
                    .acquire(target.primary(), timeout)
                    .thenCompose(
                        connection ->
                            beginOnConnection(connection, target, caller, pool, group, timeout)))
        .whenComplete(
            (id, failure) -> {
              if (failure != null) {
                table.cancelReservation();
              }
            });
  }

  private CompletableFuture<TransactionId> beginOnConnection(
      ServerConnection connection,
      WriteTarget target,
      CallerId caller,
      PoolState pool,
      GroupId group,
      Duration timeout) {
    return connection
        .begin(target.term(), timeout)
        .handle(
            (ignored, failure) -> {
              if (failure != null) {
                pools.release(target.primary(), connection);
                throw beginFailed(Futures.toAlderyardException(failure));
              }
              TransactionId id = new TransactionId(self, incarnation, random.nextLong());
              table.add(
                  id,
                  new OpenTransaction(caller, pool, group, target, connection, clock.nowNanos()));
              log.info(
                  "event=transaction-begin id={} group={} server={} term={}",
                  id,
                  group,
                  target.primary().id(),
                  target.term());
              return id;
            });
  }

  /** NOT_RUN is accurate: a transaction without statements has no effect, committed or not. */
  private static AlderyardException beginFailed(AlderyardException failure) {
    return AlderyardException.notRun(
        failure.code(), "the transaction did not begin: " + failure.getMessage());
  }

  /** Runs a statement inside a transaction. */
  public CompletableFuture<BackendResponse> run(
      TransactionId id, CallerId caller, BackendStatement statement, Duration timeout) {
    OpenTransaction transaction = requireOpen(id, caller);
    transaction.beginRequest();
    BackendStatement termStatement =
        new BackendStatement(
            statement.kind(),
            statement.key(),
            statement.text(),
            statement.parameters(),
            transaction.target().term(),
            Optional.empty());
    return transaction
        .connection()
        .run(termStatement, timeout)
        .whenComplete((answer, failure) -> transaction.endRequest(clock.nowNanos()))
        .exceptionallyCompose(
            failure -> CompletableFuture.failedFuture(statementFailed(id, transaction, failure)));
  }

  private AlderyardException statementFailed(
      TransactionId id, OpenTransaction transaction, Throwable failure) {
    AlderyardException error = Futures.toAlderyardException(failure);
    if (error instanceof BackendException && transaction.connection().usable()) {
      return error;
    }
    end(id, transaction, TransactionEnd.Kind.CONNECTION_BROKE);
    return transactionLost("its connection broke: " + error.getMessage());
  }

  /**
   * NOT_RUN is accurate: no commit was sent, and the server rolls back when the connection closes.
   */
  private static AlderyardException transactionLost(String reason) {
    return AlderyardException.notRun(
        ErrorCode.TRANSACTION_LOST, "the transaction has no effect; " + reason);
  }

  /** Commits a transaction; a resent commit returns the answer of the first one. */
  public CompletableFuture<WriteAnswer> commit(
      TransactionId id, CallerId caller, Duration timeout) {
    Optional<TransactionEnd> earlierEnd = table.findEnd(id);
    if (earlierEnd.isPresent()) {
      return earlierCommitResult(id, earlierEnd.get());
    }
    OpenTransaction transaction = requireOpen(id, caller);
    transaction.beginRequest();
    // From here on the commit may reach the server, so no request may fail as NOT_RUN any more.
    if (!table.markEnded(id, TransactionEnd.of(TransactionEnd.Kind.COMMIT_UNKNOWN))) {
      return earlierCommitResult(id, table.findEnd(id).orElseThrow());
    }
    return transaction
        .connection()
        .commit(timeout)
        .whenComplete(
            (answer, failure) ->
                pools.release(transaction.target().primary(), transaction.connection()))
        .thenCompose(response -> acknowledgeCommit(id, transaction, response, timeout))
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                recordCommitFailure(id, Futures.toAlderyardException(failure));
              }
              transaction.ended().complete(null);
            });
  }

  private CompletableFuture<WriteAnswer> acknowledgeCommit(
      TransactionId id, OpenTransaction transaction, BackendResponse response, Duration timeout) {
    return writes
        .acknowledge(
            transaction.pool(), transaction.group(), transaction.target(), response, timeout)
        .thenApply(
            writeAnswer -> {
              table.recordEnd(
                  id, new TransactionEnd(TransactionEnd.Kind.COMMITTED, Optional.of(writeAnswer)));
              log.info("event=transaction-end id={} reason=COMMITTED", id);
              return writeAnswer;
            });
  }

  private void recordCommitFailure(TransactionId id, AlderyardException failure) {
    if (failure.outcome() != Outcome.OUTCOME_UNKNOWN) {
      // The server explicitly refused the commit.
      table.recordEnd(id, TransactionEnd.of(TransactionEnd.Kind.ROLLED_BACK));
    }
    log.info("event=transaction-end id={} reason={}", id, failure.code());
  }

  private CompletableFuture<WriteAnswer> earlierCommitResult(TransactionId id, TransactionEnd end) {
    if (end.kind() == TransactionEnd.Kind.COMMITTED) {
      return CompletableFuture.completedFuture(end.answer().orElseThrow());
    }
    return CompletableFuture.failedFuture(endedFailure(id, end));
  }

  /** Rolls a transaction back; succeeds if the transaction has already ended without effect. */
  public CompletableFuture<Void> rollback(TransactionId id, CallerId caller, Duration timeout) {
    Optional<TransactionEnd> earlierEnd = table.findEnd(id);
    if (earlierEnd.isPresent()) {
      return hasNoEffect(earlierEnd.get())
          ? CompletableFuture.completedFuture(null)
          : CompletableFuture.failedFuture(endedFailure(id, earlierEnd.get()));
    }
    OpenTransaction transaction = requireOpen(id, caller);
    transaction.beginRequest();
    if (!table.markEnded(id, TransactionEnd.of(TransactionEnd.Kind.ROLLED_BACK))) {
      return CompletableFuture.completedFuture(null);
    }
    log.info("event=transaction-end id={} reason=ROLLED_BACK", id);
    return transaction
        .connection()
        .rollback(timeout)
        .handle(
            (ignored, failure) -> {
              if (failure != null) {
                // Closing the connection rolls the transaction back as well.
                transaction.connection().close();
              }
              pools.release(transaction.target().primary(), transaction.connection());
              transaction.ended().complete(null);
              return null;
            });
  }

  private static boolean hasNoEffect(TransactionEnd end) {
    return switch (end.kind()) {
      case ROLLED_BACK, EXPIRED, CONNECTION_BROKE -> true;
      case COMMITTED, COMMIT_UNKNOWN -> false;
    };
  }

  private OpenTransaction requireOpen(TransactionId id, CallerId caller) {
    Optional<OpenTransaction> found = table.find(id);
    if (found.isEmpty()) {
      throw table
          .findEnd(id)
          .map(end -> endedFailure(id, end))
          .orElseGet(
              () ->
                  AlderyardException.unknown(
                      ErrorCode.TRANSACTION_UNKNOWN,
                      "transaction " + id + " is no longer known to this host",
                      null));
    }
    if (!found.get().caller().equals(caller)) {
      // NOT_RUN is accurate: a request of another caller is not given to the connection.
      throw AlderyardException.notRun(
          ErrorCode.TRANSACTION_UNKNOWN, "transaction " + id + " belongs to another caller");
    }
    return found.get();
  }

  private static AlderyardException endedFailure(TransactionId id, TransactionEnd end) {
    String message = "transaction " + id + " has ended: " + end.kind();
    return hasNoEffect(end)
        ? transactionLost(message)
        : AlderyardException.unknown(ErrorCode.TRANSACTION_LOST, message, null);
  }

  /** Ends the transactions that exceed their limits. */
  void endExpired() {
    for (TransactionId id : table.expired(clock.nowNanos())) {
      table.find(id).ifPresent(transaction -> end(id, transaction, TransactionEnd.Kind.EXPIRED));
    }
  }

  private void end(TransactionId id, OpenTransaction transaction, TransactionEnd.Kind kind) {
    if (!table.markEnded(id, TransactionEnd.of(kind))) {
      return;
    }
    log.info("event=transaction-end id={} reason={}", id, kind);
    transaction.connection().close();
    pools.release(transaction.target().primary(), transaction.connection());
    transaction.ended().complete(null);
  }

  /** Returns a future that completes when the transaction has ended; a shutdown waits for it. */
  public CompletableFuture<Void> whenEnded(TransactionId id) {
    return table
        .find(id)
        .map(OpenTransaction::ended)
        .orElseGet(() -> CompletableFuture.completedFuture(null));
  }

  /** Returns the group of an open transaction. */
  public Optional<GroupId> group(TransactionId id) {
    return table.find(id).map(OpenTransaction::group);
  }

  /** Returns the number of open transactions. */
  public int openCount() {
    return table.size();
  }

  @Override
  public void close() {
    for (TransactionId id : table.ids()) {
      table.find(id).ifPresent(transaction -> end(id, transaction, TransactionEnd.Kind.EXPIRED));
    }
  }
}
