package org.alderyard.proxy.transaction;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendException;
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
 * <p>Guards against statements of two transactions on one connection: a connection belongs to one
 * transaction from before its begin until after its end, and goes back to the pool only after the
 * server answered that end. With any doubt it is closed, and the server drops what it held.
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

  /** Creates a holder without transactions; its limits are kept from {@link #start}. */
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

  /** Starts to end transactions that exceed their limits. */
  public void start(WorkerPool workers) {
    workers.scheduleRepeatedly(CHECK_INTERVAL, this::expire);
  }

  /** Returns whether this process is the one that holds a transaction, or held it. */
  public boolean holds(TransactionId id) {
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
                    .take(target.primary(), timeout)
                    .thenCompose(
                        connection -> beginOn(connection, target, caller, pool, group, timeout)))
        .whenComplete(
            (id, failure) -> {
              if (failure != null) {
                table.unreserve();
              }
            });
  }

  private CompletableFuture<TransactionId> beginOn(
      ServerConnection connection,
      WriteTarget target,
      CallerId caller,
      PoolState pool,
      GroupId group,
      Duration timeout) {
    return connection
        .begin(target.term(), timeout)
        .handle(
            (begun, failure) -> {
              if (failure != null) {
                pools.release(target.primary(), connection);
                throw notBegun(Futures.typed(failure));
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

  /** NOT_RUN holds: a transaction without statements has no effect, committed or not. */
  private static AlderyardException notBegun(AlderyardException failure) {
    return AlderyardException.notRun(
        failure.code(), "the transaction did not begin: " + failure.getMessage());
  }

  /** Runs a statement inside a transaction. */
  public CompletableFuture<BackendAnswer> run(
      TransactionId id, CallerId caller, BackendStatement statement, Duration timeout) {
    OpenTransaction transaction = open(id, caller);
    transaction.enter();
    BackendStatement inTerm =
        new BackendStatement(
            statement.kind(),
            statement.key(),
            statement.text(),
            statement.parameters(),
            transaction.target().term(),
            Optional.empty());
    return transaction
        .connection()
        .run(inTerm, timeout)
        .whenComplete((answer, failure) -> transaction.leave(clock.nowNanos()))
        .exceptionallyCompose(
            failure -> CompletableFuture.failedFuture(statementFailed(id, transaction, failure)));
  }

  private AlderyardException statementFailed(
      TransactionId id, OpenTransaction transaction, Throwable failure) {
    AlderyardException typed = Futures.typed(failure);
    if (typed instanceof BackendException && transaction.connection().usable()) {
      return typed;
    }
    end(id, transaction, TransactionEnd.Kind.CONNECTION_BROKE);
    return lost("its connection broke: " + typed.getMessage());
  }

  /** NOT_RUN holds: no commit was sent, and the server drops what a closed connection held. */
  private static AlderyardException lost(String reason) {
    return AlderyardException.notRun(
        ErrorCode.TRANSACTION_LOST, "the transaction has no effect; " + reason);
  }

  /** Commits; a commit that is sent again gets the first one's answer. */
  public CompletableFuture<WriteAnswer> commit(
      TransactionId id, CallerId caller, Duration timeout) {
    Optional<TransactionEnd> before = table.end(id);
    if (before.isPresent()) {
      return committedBefore(id, before.get());
    }
    OpenTransaction transaction = open(id, caller);
    transaction.enter();
    // From here on the commit may reach the server: nobody may be told NOT_RUN any more.
    if (!table.remove(id, TransactionEnd.of(TransactionEnd.Kind.COMMIT_UNKNOWN))) {
      return committedBefore(id, table.end(id).orElseThrow());
    }
    return transaction
        .connection()
        .commit(timeout)
        .whenComplete(
            (answer, failure) ->
                pools.release(transaction.target().primary(), transaction.connection()))
        .thenCompose(answer -> acknowledged(id, transaction, answer, timeout))
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                commitFailed(id, Futures.typed(failure));
              }
              transaction.ended().complete(null);
            });
  }

  private CompletableFuture<WriteAnswer> acknowledged(
      TransactionId id, OpenTransaction transaction, BackendAnswer answer, Duration timeout) {
    return writes
        .acknowledge(transaction.pool(), transaction.group(), transaction.target(), answer, timeout)
        .thenApply(
            write -> {
              table.remember(
                  id, new TransactionEnd(TransactionEnd.Kind.COMMITTED, Optional.of(write)));
              log.info("event=transaction-end id={} reason=COMMITTED", id);
              return write;
            });
  }

  private void commitFailed(TransactionId id, AlderyardException failure) {
    if (failure.outcome() != Outcome.OUTCOME_UNKNOWN) {
      // The server refused the commit and said so.
      table.remember(id, TransactionEnd.of(TransactionEnd.Kind.ROLLED_BACK));
    }
    log.info("event=transaction-end id={} reason={}", id, failure.code());
  }

  private CompletableFuture<WriteAnswer> committedBefore(TransactionId id, TransactionEnd end) {
    if (end.kind() == TransactionEnd.Kind.COMMITTED) {
      return CompletableFuture.completedFuture(end.answer().orElseThrow());
    }
    return CompletableFuture.failedFuture(endedError(id, end));
  }

  /** Drops a transaction; one that has ended without effect is dropped already. */
  public CompletableFuture<Void> rollback(TransactionId id, CallerId caller, Duration timeout) {
    Optional<TransactionEnd> before = table.end(id);
    if (before.isPresent()) {
      return withoutEffect(before.get())
          ? CompletableFuture.completedFuture(null)
          : CompletableFuture.failedFuture(endedError(id, before.get()));
    }
    OpenTransaction transaction = open(id, caller);
    transaction.enter();
    if (!table.remove(id, TransactionEnd.of(TransactionEnd.Kind.ROLLED_BACK))) {
      return CompletableFuture.completedFuture(null);
    }
    log.info("event=transaction-end id={} reason=ROLLED_BACK", id);
    return transaction
        .connection()
        .rollback(timeout)
        .handle(
            (done, failure) -> {
              if (failure != null) {
                // A closed connection drops the transaction as well as the answered rollback.
                transaction.connection().close();
              }
              pools.release(transaction.target().primary(), transaction.connection());
              transaction.ended().complete(null);
              return null;
            });
  }

  private static boolean withoutEffect(TransactionEnd end) {
    return switch (end.kind()) {
      case ROLLED_BACK, EXPIRED, CONNECTION_BROKE -> true;
      case COMMITTED, COMMIT_UNKNOWN -> false;
    };
  }

  private OpenTransaction open(TransactionId id, CallerId caller) {
    Optional<OpenTransaction> found = table.find(id);
    if (found.isEmpty()) {
      throw table
          .end(id)
          .map(end -> endedError(id, end))
          .orElseGet(
              () ->
                  AlderyardException.unknown(
                      ErrorCode.TRANSACTION_UNKNOWN,
                      "transaction " + id + " is not known here any more",
                      null));
    }
    if (!found.get().caller().equals(caller)) {
      // NOT_RUN holds: the request of another caller is given to no connection.
      throw AlderyardException.notRun(
          ErrorCode.TRANSACTION_UNKNOWN, "transaction " + id + " is another caller's");
    }
    return found.get();
  }

  private static AlderyardException endedError(TransactionId id, TransactionEnd end) {
    String text = "transaction " + id + " has ended: " + end.kind();
    return withoutEffect(end)
        ? lost(text)
        : AlderyardException.unknown(ErrorCode.TRANSACTION_LOST, text, null);
  }

  /** Ends the transactions that exceed their limits. */
  void expire() {
    for (TransactionId id : table.expired(clock.nowNanos())) {
      table.find(id).ifPresent(open -> end(id, open, TransactionEnd.Kind.EXPIRED));
    }
  }

  private void end(TransactionId id, OpenTransaction transaction, TransactionEnd.Kind kind) {
    if (!table.remove(id, TransactionEnd.of(kind))) {
      return;
    }
    log.info("event=transaction-end id={} reason={}", id, kind);
    transaction.connection().close();
    pools.release(transaction.target().primary(), transaction.connection());
    transaction.ended().complete(null);
  }

  /** Done when the transaction has ended; a shutdown waits for it. */
  public CompletableFuture<Void> ended(TransactionId id) {
    return table
        .find(id)
        .map(OpenTransaction::ended)
        .orElseGet(() -> CompletableFuture.completedFuture(null));
  }

  /** Returns the group that a transaction is pinned to. */
  public Optional<GroupId> group(TransactionId id) {
    return table.find(id).map(OpenTransaction::group);
  }

  /** Returns how many transactions are open. */
  public int openCount() {
    return table.size();
  }

  @Override
  public void close() {
    for (TransactionId id : table.ids()) {
      table.find(id).ifPresent(open -> end(id, open, TransactionEnd.Kind.EXPIRED));
    }
  }
}
