package org.alderyard.proxy.callersession;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
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
 * One caller's session: its values, prepared statements, own writes and transaction.
 *
 * <p>The port hands over one statement at a time, the next one after the answer to the one before;
 * only {@link #close()}, {@link #endIdleTransaction} and {@link #abort()} may come in between. What
 * those touch is in {@link OpenTransaction}, under its lock.
 */
public final class CallerSession {
  private static final Logger log = LoggerFactory.getLogger(CallerSession.class);

  /** The most values of one session; more would only be a way to fill the host's memory. */
  private static final int MAX_VALUES = 1_000;

  private final SessionParts parts;
  private final LocalStatements here;
  private final Forwarding forwarding;
  private final String databaseName;
  private final Map<String, String> values = new LinkedHashMap<>();
  private final Map<String, Prepare> prepared = new HashMap<>();
  private final Map<GroupId, GroupRouting.Floor> written = new HashMap<>();
  private volatile TransactionState state = TransactionState.NONE;
  private volatile Optional<OpenTransaction> transaction = Optional.empty();
  private volatile boolean busy;
  private volatile boolean closed;

  CallerSession(LocalStatements here, Forwarding forwarding, String databaseName) {
    this.parts = here.parts();
    this.here = here;
    this.forwarding = forwarding;
    this.databaseName = databaseName;
  }

  /**
   * Answers one statement.
   *
   * @param id the caller's name for it
   * @return never fails
   */
  public CompletableFuture<SessionReply> handle(String id, SessionStatement statement) {
    busy = true;
    long start = parts.clock().nowNanos();
    CompletableFuture<SessionReply> answer;
    try {
      answer = dispatch(id, statement);
    } catch (RuntimeException unexpected) {
      answer = CompletableFuture.failedFuture(unexpected);
    }
    return answer
        .exceptionally(failure -> internal(id, failure))
        .thenApply(
            reply -> {
              state = reply.state();
              long now = parts.clock().nowNanos();
              transaction.ifPresent(open -> open.rest(now));
              database()
                  .ifPresent(
                      database -> parts.metrics().answered(database.reads(), reply, now - start));
              busy = false;
              if (closed) {
                rollBack();
              }
              return reply;
            });
  }

  private SessionReply internal(String id, Throwable failure) {
    log.error("event=statement-failed id={} outcome=OUTCOME_UNKNOWN", id, Futures.unwrap(failure));
    rollBack();
    return SessionReply.refused(RefusalCode.IN_DOUBT, "internal error", failed());
  }

  private CompletableFuture<SessionReply> dispatch(String id, SessionStatement statement) {
    if (state == TransactionState.FAILED && !ends(statement)) {
      return refuse(RefusalCode.MALFORMED, "the transaction failed; it can only be ended", state);
    }
    if (statement instanceof SetValue set) {
      return setValue(set);
    }
    if (statement instanceof Prepare prepare) {
      return prepare(prepare);
    }
    if (statement instanceof Deallocate deallocate) {
      return prepared.remove(deallocate.name()) == null
          ? refuse(RefusalCode.NOT_PREPARED, deallocate.name(), failed())
          : done(state);
    }
    if (statement instanceof Begin begin) {
      return begin(begin);
    }
    if (statement instanceof Rollback) {
      return rollBackAsked();
    }
    if (statement instanceof Commit) {
      return commit(id);
    }
    return onServer(id, statement);
  }

  private static boolean ends(SessionStatement statement) {
    return statement instanceof Commit || statement instanceof Rollback;
  }

  private TransactionState failed() {
    return state == TransactionState.NONE ? TransactionState.NONE : TransactionState.FAILED;
  }

  private static CompletableFuture<SessionReply> done(TransactionState state) {
    return CompletableFuture.completedFuture(SessionReply.done(state));
  }

  private CompletableFuture<SessionReply> refuse(
      RefusalCode code, String text, TransactionState next) {
    if (next == TransactionState.FAILED) {
      rollBack();
    }
    return CompletableFuture.completedFuture(SessionReply.refused(code, text, next));
  }

  private CompletableFuture<SessionReply> setValue(SetValue set) {
    if (values.size() >= MAX_VALUES && !values.containsKey(set.name())) {
      return refuse(RefusalCode.TOO_LARGE, "at most " + MAX_VALUES + " values", failed());
    }
    values.put(set.name(), set.value());
    return done(state);
  }

  private CompletableFuture<SessionReply> unknownDatabase() {
    Refusal unknown = parts.unknown(databaseName);
    return refuse(unknown.code(), unknown.text(), TransactionState.NONE);
  }

  private CompletableFuture<SessionReply> prepare(Prepare prepare) {
    if (prepared.size() >= MAX_VALUES && !prepared.containsKey(prepare.name())) {
      return refuse(RefusalCode.TOO_LARGE, "at most " + MAX_VALUES + " statements", failed());
    }
    prepared.put(prepare.name(), prepare);
    return done(state);
  }

  private CompletableFuture<SessionReply> begin(Begin begin) {
    if (state != TransactionState.NONE) {
      return refuse(RefusalCode.MALFORMED, "a transaction is open", failed());
    }
    Optional<DatabaseState> database = database();
    if (database.isEmpty()) {
      return unknownDatabase();
    }
    transaction =
        Optional.of(
            new OpenTransaction(database.get(), begin.readOnly(), parts.clock().nowNanos()));
    return done(TransactionState.OPEN);
  }

  private Optional<DatabaseState> database() {
    return parts
        .views()
        .current()
        .configuration()
        .flatMap(configuration -> configuration.database(databaseName));
  }

  private CompletableFuture<SessionReply> rollBackAsked() {
    if (state == TransactionState.NONE) {
      return refuse(RefusalCode.MALFORMED, "no transaction is open", TransactionState.NONE);
    }
    rollBack();
    return done(TransactionState.NONE);
  }

  /** What its transaction asks of the session. */
  private final class Owner implements TransactionOwner {
    @Override
    public CompletableFuture<Optional<GroupRouting.Floor>> floor(DatabaseState database) {
      return here.floors().floor(database, written(database));
    }

    @Override
    public void remember(DatabaseState database, SessionReply reply) {
      CallerSession.this.remember(database, reply);
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
    open.ifPresent(CallerSession::rollBack);
  }

  private static void rollBack(OpenTransaction open) {
    open.end().ifPresent(TransactionPlace::rollBack);
  }

  private CompletableFuture<SessionReply> commit(String id) {
    if (state == TransactionState.NONE) {
      return refuse(RefusalCode.MALFORMED, "no transaction is open", TransactionState.NONE);
    }
    Optional<OpenTransaction> open = transaction.filter(OpenTransaction::begin);
    if (state == TransactionState.FAILED || open.isEmpty()) {
      rollBack();
      return refuse(RefusalCode.ABORTED, "the transaction kept nothing", TransactionState.NONE);
    }
    StatementTask task =
        task(
            SessionRequest.of(id, new Commit()),
            StatementKind.READ,
            true,
            Optional.empty(),
            open.get().database());
    return run(open.get(), task);
  }

  private CompletableFuture<SessionReply> onServer(String id, SessionStatement statement) {
    Optional<Prepare> shape = Optional.empty();
    SessionStatement sent = statement;
    StatementKind kind;
    if (statement instanceof Read) {
      kind = StatementKind.READ;
    } else if (statement instanceof Write) {
      kind = StatementKind.WRITE;
    } else if (statement instanceof Execute execute) {
      shape = Optional.ofNullable(prepared.get(execute.name()));
      if (shape.isEmpty()) {
        return refuse(RefusalCode.NOT_PREPARED, execute.name(), failed());
      }
      kind = shape.get().kind();
      if ((kind == StatementKind.WRITE) != execute.data().isPresent()) {
        return refuse(RefusalCode.MALFORMED, "data is for statements that write", failed());
      }
      sent = new Execute(PooledSession.serverName(shape.get()), execute.item(), execute.data());
    } else {
      String reason =
          statement instanceof Unreadable unreadable ? unreadable.reason() : "not for callers";
      return refuse(RefusalCode.MALFORMED, reason, failed());
    }
    SessionRequest request = SessionRequest.of(id, sent);
    if (state == TransactionState.OPEN) {
      return inOpenTransaction(request, kind, shape);
    }
    Optional<DatabaseState> database = database();
    if (database.isEmpty()) {
      return unknownDatabase();
    }
    return single(task(request, kind, false, shape, database.get()));
  }

  private StatementTask task(
      SessionRequest request,
      StatementKind kind,
      boolean ending,
      Optional<Prepare> shape,
      DatabaseState database) {
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(database.statementTimeoutMillis());
    return new StatementTask(
        request, kind, ending, shape, database, values, parts.clock().nowNanos() + timeoutNanos);
  }

  private CompletableFuture<SessionReply> single(StatementTask task) {
    Optional<GroupRouting.Floor> own = written(task.database());
    return forwarding
        .single(task, own)
        .thenCompose(
            elsewhere ->
                elsewhere
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(() -> here.single(task, own)))
        .thenApply(
            reply -> {
              if (task.kind() == StatementKind.WRITE && reply.succeeded()) {
                remember(task.database(), reply);
              }
              return reply;
            });
  }

  private CompletableFuture<SessionReply> run(OpenTransaction open, StatementTask task) {
    return new TransactionStatement(parts, new Owner(), open, task)
        .run(forwarding, written(open.database()));
  }

  private Optional<GroupRouting.Floor> written(DatabaseState database) {
    return Optional.ofNullable(written.get(database.group()));
  }

  private void remember(DatabaseState database, SessionReply reply) {
    long now = parts.clock().nowNanos();
    reply
        .position()
        .ifPresent(
            position -> written.put(database.group(), new GroupRouting.Floor(position, now)));
  }

  private CompletableFuture<SessionReply> inOpenTransaction(
      SessionRequest request, StatementKind kind, Optional<Prepare> shape) {
    Optional<OpenTransaction> open = transaction.filter(OpenTransaction::begin);
    if (open.isEmpty()) {
      return refuse(
          RefusalCode.ABORTED, "the transaction was idle for too long", TransactionState.FAILED);
    }
    if (open.get().readOnly() && kind == StatementKind.WRITE) {
      return refuse(RefusalCode.NOT_PRIMARY, "the transaction only reads", TransactionState.FAILED);
    }
    StatementTask task = task(request, kind, false, shape, open.get().database());
    return run(open.get(), task);
  }

  /** Ends the transaction if it has been idle for this long; its next statement is told so. */
  void endIdleTransaction(long nowNanos) {
    Optional<OpenTransaction> open = transaction;
    if (open.isEmpty()) {
      return;
    }
    long idleMillis =
        parts
            .views()
            .current()
            .configuration()
            .map(configuration -> (long) configuration.transactionIdleMillis())
            .filter(millis -> millis > 0)
            .orElse(Long.MAX_VALUE / 2_000_000);
    if (open.get().idleFor(nowNanos, TimeUnit.MILLISECONDS.toNanos(idleMillis))) {
      log.info("event=transaction-ended database={} reason=idle", open.get().database().name());
      rollBack(open.get());
    }
  }

  /** Ends an open transaction although its caller has not asked for it: this host shuts down. */
  public void abort() {
    transaction.ifPresent(CallerSession::rollBack);
  }

  /** Returns whether the session has no transaction and no statement runs. */
  public boolean idle() {
    return !busy && state == TransactionState.NONE;
  }

  /** The caller is gone. */
  public void close() {
    closed = true;
    if (!busy) {
      rollBack();
    }
  }
}
