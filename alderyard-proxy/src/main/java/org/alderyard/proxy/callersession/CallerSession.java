package org.alderyard.proxy.callersession;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Deallocate;
import org.alderyard.backend.session.SessionStatement.Execute;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.SessionStatement.SetValue;
import org.alderyard.backend.session.SessionStatement.Unreadable;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.DatabaseState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The session of one caller: its values, prepared statements, last writes and transaction.
 *
 * <p>{@link #handle} is called for one statement at a time, after the reply to the previous one.
 * Only {@link #close()}, {@link #endIdleTransaction} and {@link #stopStatements()} may run
 * concurrently with a statement; the state that they modify is in {@link OpenTransaction}, guarded
 * by its lock.
 */
public final class CallerSession {
  private static final Logger log = LoggerFactory.getLogger(CallerSession.class);

  private final SessionContext context;
  private final LocalStatements local;
  private final StatementForwarder forwarder;
  private final SessionAccess access;
  private final SessionVariables variables = new SessionVariables();
  private final Map<GroupId, GroupRouting.Floor> lastWrites = new HashMap<>();
  private volatile TransactionState state = TransactionState.NONE;
  private volatile Optional<OpenTransaction> transaction = Optional.empty();
  private volatile boolean busy;
  private volatile boolean stopping;
  private volatile boolean closed;

  CallerSession(LocalStatements local, StatementForwarder forwarder, SessionAccess access) {
    this.context = local.context();
    this.local = local;
    this.forwarder = forwarder;
    this.access = access;
  }

  /**
   * Runs one statement.
   *
   * @param id the caller's identifier of the statement
   * @return a future that never fails; failures are reported as refusals
   */
  public CompletableFuture<SessionReply> handle(String id, SessionStatement statement) {
    busy = true;
    long start = context.clock().nowNanos();
    CompletableFuture<SessionReply> result;
    try {
      result = dispatch(id, statement);
    } catch (RuntimeException | Error failure) {
      result = CompletableFuture.failedFuture(failure);
    }
    return result
        .exceptionally(failure -> internalError(id, failure))
        .thenApply(
            reply -> {
              state = reply.state();
              long now = context.clock().nowNanos();
              transaction
                  .flatMap(open -> open.endStatement(now))
                  .ifPresent(TransactionLocation::rollBack);
              access
                  .database()
                  .ifPresent(
                      database ->
                          context.metrics().recordStatement(database.reads(), reply, now - start));
              busy = false;
              if (closed) {
                rollBack();
              }
              if (stopping) {
                endTransaction();
              }
              return reply;
            });
  }

  private SessionReply internalError(String id, Throwable failure) {
    log.error(
        "event=statement-failed id={} outcome=OUTCOME_UNKNOWN",
        StatementTask.loggedId(id),
        Futures.unwrap(failure));
    rollBack();
    return SessionReply.refused(RefusalCode.IN_DOUBT, "internal error", failedState());
  }

  private CompletableFuture<SessionReply> dispatch(String id, SessionStatement statement) {
    if (state == TransactionState.FAILED && !endsTransaction(statement)) {
      return refuse(
          RefusalCode.MALFORMED,
          "the transaction has failed; end it with a commit or a rollback",
          state);
    }
    if (stopping && !endsTransaction(statement)) {
      return refuseWhileStopping();
    }
    if (statement instanceof SetValue setValue) {
      return changed(variables.set(setValue));
    }
    if (statement instanceof Prepare prepare) {
      return changed(variables.prepare(prepare));
    }
    if (statement instanceof Deallocate deallocate) {
      return changed(variables.deallocate(deallocate.name()));
    }
    if (statement instanceof Begin begin) {
      return begin(begin);
    }
    if (statement instanceof Rollback) {
      return rollBackByCaller();
    }
    if (statement instanceof Commit) {
      return commit(id);
    }
    return runOnServer(id, statement);
  }

  private static boolean endsTransaction(SessionStatement statement) {
    return statement instanceof Commit || statement instanceof Rollback;
  }

  private TransactionState failedState() {
    return state == TransactionState.NONE ? TransactionState.NONE : TransactionState.FAILED;
  }

  private static CompletableFuture<SessionReply> succeed(TransactionState state) {
    return CompletableFuture.completedFuture(SessionReply.success(state));
  }

  private CompletableFuture<SessionReply> refuse(
      RefusalCode code, String text, TransactionState next) {
    if (next == TransactionState.FAILED) {
      rollBack();
    }
    return CompletableFuture.completedFuture(SessionReply.refused(code, text, next));
  }

  /** Returns the reply to a change of the session's variables. */
  private CompletableFuture<SessionReply> changed(Optional<Refusal> refusal) {
    return refusal
        .map(refused -> refuse(refused.code(), refused.text(), failedState()))
        .orElseGet(() -> succeed(state));
  }

  private CompletableFuture<SessionReply> refuseWhileStopping() {
    return refuse(
        state == TransactionState.NONE ? RefusalCode.BUSY : RefusalCode.ABORTED,
        "this host is shutting down",
        failedState());
  }

  /** Refuses an operation that this session has no right to begin. */
  private CompletableFuture<SessionReply> refuseOperation(Refusal refusal) {
    return refuse(refusal.code(), refusal.text(), TransactionState.NONE);
  }

  private CompletableFuture<SessionReply> begin(Begin begin) {
    if (state != TransactionState.NONE) {
      return refuse(RefusalCode.MALFORMED, "a transaction is already open", failedState());
    }
    return access
        .decideByCurrentView()
        .thenCompose(decision -> decision.map(right -> begin(begin, right), this::refuseOperation));
  }

  private CompletableFuture<SessionReply> begin(Begin begin, SessionAccess.Right right) {
    transaction =
        Optional.of(
            new OpenTransaction(
                right.database(), right.owner(), begin.readOnly(), context.clock().nowNanos()));
    return succeed(TransactionState.OPEN);
  }

  private CompletableFuture<SessionReply> rollBackByCaller() {
    if (state == TransactionState.NONE) {
      return refuse(RefusalCode.MALFORMED, "no transaction is open", TransactionState.NONE);
    }
    rollBack();
    return succeed(TransactionState.NONE);
  }

  /** Gives a transaction access to the state of its session. */
  private final class SessionTransactionOwner implements TransactionOwner {
    @Override
    public CompletableFuture<Optional<GroupRouting.Floor>> readFloor(DatabaseState database) {
      return local.floors().floor(database, lastWrite(database));
    }

    @Override
    public void recordWrite(DatabaseState database, SessionReply reply) {
      CallerSession.this.recordWrite(database, reply);
    }

    @Override
    public void rollBack() {
      CallerSession.this.rollBack();
    }

    @Override
    public void transactionEnded() {
      transaction = Optional.empty();
    }
  }

  private void rollBack() {
    Optional<OpenTransaction> open = transaction;
    transaction = Optional.empty();
    open.flatMap(OpenTransaction::end).ifPresent(TransactionLocation::rollBack);
  }

  private CompletableFuture<SessionReply> commit(String id) {
    if (state == TransactionState.NONE) {
      return refuse(RefusalCode.MALFORMED, "no transaction is open", TransactionState.NONE);
    }
    Optional<OpenTransaction> open = transaction.filter(OpenTransaction::beginStatement);
    if (state == TransactionState.FAILED || open.isEmpty()) {
      rollBack();
      return refuse(RefusalCode.ABORTED, "the transaction was rolled back", TransactionState.NONE);
    }
    return access
        .refusalInTransactionByCurrentView(open.get().database(), open.get().owner())
        .thenCompose(
            refusal ->
                refusal.isPresent() ? refuseCommit(refusal.get()) : runCommit(id, open.get()));
  }

  private CompletableFuture<SessionReply> refuseCommit(Refusal refusal) {
    rollBack();
    return refuse(RefusalCode.ABORTED, refusal.text(), TransactionState.NONE);
  }

  private CompletableFuture<SessionReply> runCommit(String id, OpenTransaction open) {
    StatementTask task =
        task(
            SessionRequest.of(id, new Commit()),
            StatementKind.READ,
            true,
            Optional.empty(),
            open.database(),
            open.owner(),
            access.lookup());
    return run(open, task);
  }

  private CompletableFuture<SessionReply> runOnServer(String id, SessionStatement statement) {
    Optional<Prepare> preparedStatement = Optional.empty();
    SessionStatement serverStatement = statement;
    StatementKind kind;
    if (statement instanceof Read) {
      kind = StatementKind.READ;
    } else if (statement instanceof Write) {
      kind = StatementKind.WRITE;
    } else if (statement instanceof Execute execute) {
      preparedStatement = variables.prepared(execute.name());
      if (preparedStatement.isEmpty()) {
        return refuse(RefusalCode.NOT_PREPARED, execute.name(), failedState());
      }
      kind = preparedStatement.get().kind();
      if ((kind == StatementKind.WRITE) != execute.data().isPresent()) {
        return refuse(
            RefusalCode.MALFORMED,
            "data is required for writes and not allowed for reads",
            failedState());
      }
      serverStatement =
          new Execute(
              PooledSession.serverName(preparedStatement.get()), execute.item(), execute.data());
    } else {
      String reason =
          statement instanceof Unreadable unreadable
              ? unreadable.reason()
              : "callers may not send this statement";
      return refuse(RefusalCode.MALFORMED, reason, failedState());
    }
    SessionRequest request = SessionRequest.of(id, serverStatement);
    if (state == TransactionState.OPEN) {
      return runInOpenTransaction(request, kind, preparedStatement);
    }
    return beginSingle(request, kind, preparedStatement);
  }

  /** Begins an operation that consists of one statement. */
  private CompletableFuture<SessionReply> beginSingle(
      SessionRequest request, StatementKind kind, Optional<Prepare> preparedStatement) {
    return access
        .decideByCurrentView()
        .thenCompose(
            decision ->
                decision.map(
                    right ->
                        runOutsideTransaction(
                            task(
                                request,
                                kind,
                                false,
                                preparedStatement,
                                right.database(),
                                right.owner(),
                                right.lookup())),
                    this::refuseOperation));
  }

  private StatementTask task(
      SessionRequest request,
      StatementKind kind,
      boolean endsTransaction,
      Optional<Prepare> preparedStatement,
      DatabaseState database,
      ConnectionOwner owner,
      ViewLookup lookup) {
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(database.statementTimeoutMillis());
    return new StatementTask(
        lookup,
        owner,
        request,
        kind,
        endsTransaction,
        preparedStatement,
        database,
        variables.values(),
        context.clock().nowNanos() + timeoutNanos);
  }

  private CompletableFuture<SessionReply> runOutsideTransaction(StatementTask task) {
    Optional<GroupRouting.Floor> lastWrite = lastWrite(task.database());
    return forwarder
        .forward(task, lastWrite)
        .thenCompose(
            forwarded ->
                forwarded
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(() -> local.single(task, lastWrite)))
        .thenApply(
            reply -> {
              if (task.kind() == StatementKind.WRITE && reply.succeeded()) {
                recordWrite(task.database(), reply);
              }
              return reply;
            });
  }

  private CompletableFuture<SessionReply> run(OpenTransaction open, StatementTask task) {
    return new TransactionStatement(local, new SessionTransactionOwner(), open, task)
        .run(forwarder, lastWrite(open.database()));
  }

  private Optional<GroupRouting.Floor> lastWrite(DatabaseState database) {
    return Optional.ofNullable(lastWrites.get(database.group()));
  }

  private void recordWrite(DatabaseState database, SessionReply reply) {
    long now = context.clock().nowNanos();
    reply
        .position()
        .ifPresent(
            position -> lastWrites.put(database.group(), new GroupRouting.Floor(position, now)));
  }

  private CompletableFuture<SessionReply> runInOpenTransaction(
      SessionRequest request, StatementKind kind, Optional<Prepare> preparedStatement) {
    Optional<OpenTransaction> open = transaction.filter(OpenTransaction::beginStatement);
    if (open.isEmpty()) {
      return refuse(
          RefusalCode.ABORTED,
          "the transaction was rolled back because it was idle for too long",
          TransactionState.FAILED);
    }
    return access
        .refusalInTransactionByCurrentView(open.get().database(), open.get().owner())
        .thenCompose(
            refusal ->
                refusal
                    .map(refused -> refuse(refused.code(), refused.text(), TransactionState.FAILED))
                    .orElseGet(() -> runAllowed(open.get(), request, kind, preparedStatement)));
  }

  private CompletableFuture<SessionReply> runAllowed(
      OpenTransaction open,
      SessionRequest request,
      StatementKind kind,
      Optional<Prepare> preparedStatement) {
    if (open.readOnly() && kind == StatementKind.WRITE) {
      return refuse(
          RefusalCode.NOT_PRIMARY, "the transaction is read-only", TransactionState.FAILED);
    }
    StatementTask task =
        task(
            request,
            kind,
            false,
            preparedStatement,
            open.database(),
            open.owner(),
            access.lookup());
    return run(open, task);
  }

  /**
   * Rolls back the transaction if it has exceeded the configured idle time. Its next read, write or
   * commit is refused with {@code ABORTED}.
   */
  void endIdleTransaction(long nowNanos) {
    Optional<OpenTransaction> open = transaction;
    if (open.isEmpty()) {
      return;
    }
    long idleMillis =
        context
            .views()
            .current()
            .configuration()
            .map(configuration -> (long) configuration.transactionIdleMillis())
            .filter(millis -> millis > 0)
            .orElse(Long.MAX_VALUE / 2_000_000);
    if (open.get().isIdleFor(nowNanos, TimeUnit.MILLISECONDS.toNanos(idleMillis))) {
      log.info("event=transaction-ended database={} reason=idle", open.get().database().name());
      open.get().requestEnd().ifPresent(TransactionLocation::rollBack);
    }
  }

  /**
   * Refuses all further statements, as this host shuts down. An open transaction is rolled back, as
   * soon as its running statement has ended; a commit that runs is not affected.
   */
  public void stopStatements() {
    stopping = true;
    endTransaction();
  }

  private void endTransaction() {
    transaction.flatMap(OpenTransaction::requestEnd).ifPresent(TransactionLocation::rollBack);
  }

  /** Returns whether no transaction is open and no statement is running. */
  public boolean isIdle() {
    return !busy && state == TransactionState.NONE;
  }

  /**
   * Closes the session after its caller has disconnected, and rolls back an open transaction once
   * no statement is running.
   */
  public void close() {
    closed = true;
    if (!busy) {
      rollBack();
    }
  }
}
