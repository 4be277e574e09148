package org.alderyard.testkit.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Execute;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.backend.session.SessionStatement.Reset;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.SessionStatement.SetValue;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** A connection to a {@link ModelServer}. */
final class ModelConnection implements SessionConnection {
  private final ModelGroup group;
  private final ModelServer server;
  private final ConnectionOwner owner;
  private final int number;
  private final Map<String, String> values = new TreeMap<>();
  private final Map<String, Prepare> prepared = new HashMap<>();
  private final Map<String, String> written = new TreeMap<>();
  // The values and prepared statements at the beginning of the transaction.
  private Map<String, String> earlierValues = Map.of();
  private Map<String, Prepare> earlierPrepared = Map.of();
  private TransactionState state = TransactionState.NONE;
  private boolean readOnly;
  private boolean closed;

  /** Signals that the server ran a statement and its response is lost. */
  private static final class LostResponse extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  ModelConnection(ModelGroup group, ModelServer server, ConnectionOwner owner, int number) {
    this.group = group;
    this.server = server;
    this.owner = owner;
    this.number = number;
  }

  @Override
  public CompletableFuture<List<SessionReply>> run(
      List<SessionRequest> requests, Duration timeout) {
    if (closed || server.isUnreachable()) {
      return connectionLost(ErrorCode.CONNECTION_LOST);
    }
    if (server.isUnresponsive()) {
      CompletableFuture<List<SessionReply>> never = new CompletableFuture<>();
      return never
          .orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS)
          .handle(
              (replies, expired) ->
                  this.<List<SessionReply>>connectionLost(ErrorCode.DEADLINE_EXCEEDED))
          .thenCompose(failure -> failure);
    }
    List<SessionReply> replies = new ArrayList<>();
    try {
      requests.forEach(request -> replies.add(answer(request)));
    } catch (LostResponse lostResponse) {
      return connectionLost(ErrorCode.CONNECTION_LOST);
    }
    return server.released().thenApply(ignored -> replies);
  }

  private <T> CompletableFuture<T> connectionLost(ErrorCode code) {
    close();
    return CompletableFuture.failedFuture(
        new AlderyardException(code, Outcome.OUTCOME_UNKNOWN, "server did not respond"));
  }

  private SessionReply answer(SessionRequest request) {
    Optional<Refusal> refusal = refusal(request);
    List<String> rows = new ArrayList<>();
    Optional<String> proof = Optional.empty();
    if (refusal.isEmpty()) {
      refusal = execute(request, rows);
      proof = request.id().map(id -> "proof-" + server.state().id() + "-" + id);
    }
    refusal.ifPresent(refused -> server.countRefusal(refused.code()));
    if (refusal.isPresent() && state != TransactionState.NONE) {
      state = TransactionState.FAILED;
    }
    return new SessionReply(rows, proof, refusal, state, Optional.of(server.appliedPosition()));
  }

  private Optional<Refusal> refusal(SessionRequest request) {
    SessionStatement statement = request.statement();
    if (state == TransactionState.FAILED && !endsTransaction(statement)) {
      return refuse(RefusalCode.MALFORMED);
    }
    if (request
        .after()
        .filter(after -> server.appliedPosition().compareTo(after) < 0)
        .isPresent()) {
      return refuse(RefusalCode.BEHIND);
    }
    if (statement instanceof Execute execute && server.consumeLostPreparedStatement()) {
      prepared.remove(execute.name());
    }
    if (statement instanceof Execute execute && !prepared.containsKey(execute.name())) {
      return refuse(RefusalCode.NOT_PREPARED);
    }
    boolean inReadWriteTransaction = state == TransactionState.OPEN && !readOnly;
    boolean isEmptyCommit = statement instanceof Commit && written.isEmpty();
    boolean requiresPrimary =
        writes(statement)
            || statement instanceof Begin begin && !begin.readOnly()
            || inReadWriteTransaction && !(statement instanceof Rollback) && !isEmptyCommit;
    if (requiresPrimary && !group.isPrimary(server)) {
      return refuse(RefusalCode.NOT_PRIMARY);
    }
    boolean needsSlot =
        statement instanceof Read
            || statement instanceof Write
            || statement instanceof Execute
            || statement instanceof Commit;
    return needsSlot && server.consumeBusy() ? refuse(RefusalCode.BUSY) : Optional.empty();
  }

  private static boolean endsTransaction(SessionStatement statement) {
    return statement instanceof Commit || statement instanceof Rollback;
  }

  private boolean writes(SessionStatement statement) {
    return statement instanceof Write
        || statement instanceof Execute execute
            && prepared.get(execute.name()).kind() == StatementKind.WRITE;
  }

  private static Optional<Refusal> refuse(RefusalCode code) {
    return Optional.of(new Refusal(code, "model"));
  }

  private Optional<Refusal> execute(SessionRequest request, List<String> rows) {
    SessionStatement statement = request.statement();
    if (statement instanceof SetValue set) {
      values.put(set.name(), set.value());
    } else if (statement instanceof Prepare prepare) {
      prepared.put(prepare.name(), prepare);
    } else if (statement instanceof Reset) {
      values.clear();
      prepared.clear();
    } else if (statement instanceof Begin begin) {
      state = TransactionState.OPEN;
      readOnly = begin.readOnly();
      earlierValues = Map.copyOf(values);
      earlierPrepared = Map.copyOf(prepared);
    } else if (statement instanceof Rollback) {
      rollBack();
    } else {
      return runInSlot(request, rows);
    }
    return Optional.empty();
  }

  private void rollBack() {
    state = TransactionState.NONE;
    written.clear();
    if (server.rollbackRestoresVariables()) {
      values.clear();
      values.putAll(earlierValues);
      prepared.clear();
      prepared.putAll(earlierPrepared);
    }
  }

  private Optional<Refusal> runInSlot(SessionRequest request, List<String> rows) {
    server.addRun(
        new ModelServer.RanStatement(
            request.id(),
            owner,
            number,
            request.statement(),
            Map.copyOf(values),
            server.appliedPosition()));
    if (server.consumeFailure()) {
      return refuse(RefusalCode.FAILED);
    }
    SessionStatement statement = request.statement();
    if (statement instanceof Read read) {
      rows.add(read(read.item()));
    } else if (statement instanceof Write write) {
      write(write.item(), write.data());
    } else if (statement instanceof Execute execute) {
      if (execute.data().isPresent()) {
        write(execute.item(), execute.data().get());
      } else {
        rows.add(read(execute.item()));
      }
    } else if (statement instanceof Commit) {
      commit();
    }
    if (server.consumeLostResponse()) {
      throw new LostResponse();
    }
    return Optional.empty();
  }

  private String read(String item) {
    return Optional.ofNullable(written.get(item)).or(() -> server.read(item)).orElse("");
  }

  private void write(String item, String data) {
    written.put(item, data);
    if (state == TransactionState.NONE) {
      commit();
    }
  }

  /** Commits the writes; the commit of a failed transaction rolls back. */
  private void commit() {
    if (!written.isEmpty() && state != TransactionState.FAILED) {
      group.commit(server, written);
    }
    written.clear();
    state = TransactionState.NONE;
  }

  @Override
  public boolean usable() {
    return !closed;
  }

  @Override
  public void close() {
    closed = true;
    written.clear();
  }
}
