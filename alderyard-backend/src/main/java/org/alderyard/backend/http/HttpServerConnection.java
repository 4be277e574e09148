package org.alderyard.backend.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.client.ClientConnection;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.xnio.IoUtils;

/**
 * A database connection over one HTTP connection.
 *
 * <p>Guards against an answer that reaches the wrong request: an answer that comes after its
 * request was given up on would be read as the answer of the next request. So any doubt closes the
 * connection before its failure is reported, and no other request is sent on it.
 */
final class HttpServerConnection implements ServerConnection {
  private static final int READ_BUFFER_BYTES = 8 * 1024;

  private final ClientConnection connection;
  private final WorkerPool workers;
  private final int maxAnswerBytes;
  // Used by one exchange at a time: a connection that an exchange was given up on is closed.
  private final ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private final AtomicLong requests = new AtomicLong();
  private final AtomicBoolean busy = new AtomicBoolean();
  private volatile boolean closed;

  HttpServerConnection(ClientConnection connection, WorkerPool workers, int maxAnswerBytes) {
    this.connection = connection;
    this.workers = workers;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  @Override
  public CompletableFuture<BackendAnswer> run(BackendStatement statement, Duration timeout) {
    return post(BackendPaths.STATEMENTS, BackendJson.statement(statement), timeout)
        .thenApply(BackendJson::answer);
  }

  @Override
  public CompletableFuture<Void> begin(long term, Duration timeout) {
    return post(BackendPaths.BEGIN, BackendJson.object().put("term", term), timeout)
        .thenApply(done -> null);
  }

  @Override
  public CompletableFuture<BackendAnswer> commit(Duration timeout) {
    return post(BackendPaths.COMMIT, BackendJson.object(), timeout).thenApply(BackendJson::answer);
  }

  @Override
  public CompletableFuture<Void> rollback(Duration timeout) {
    return post(BackendPaths.ROLLBACK, BackendJson.object(), timeout).thenApply(done -> null);
  }

  CompletableFuture<JsonNode> get(String path, Duration timeout) {
    return send(path, Optional.empty(), timeout);
  }

  CompletableFuture<JsonNode> post(String path, JsonNode body, Duration timeout) {
    return send(path, Optional.of(body), timeout);
  }

  private CompletableFuture<JsonNode> send(String path, Optional<JsonNode> body, Duration timeout) {
    if (!usable()) {
      // Nothing was written: the check comes before the request leaves this process.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "the connection is closed"));
    }
    if (!busy.compareAndSet(false, true)) {
      return CompletableFuture.failedFuture(
          new AlderyardException(
              ErrorCode.INTERNAL, Outcome.NOT_RUN, "a second request on a busy connection"));
    }
    CompletableFuture<JsonNode> answer =
        new HttpExchange(connection, maxAnswerBytes, buffer, requests.incrementAndGet())
            .send(path, body);
    CompletableFuture<JsonNode> result = new CompletableFuture<>();
    workers
        .withTimeout(answer, timeout, Outcome.OUTCOME_UNKNOWN)
        .whenComplete((node, failure) -> settle(result, node, failure));
    return result;
  }

  private void settle(CompletableFuture<JsonNode> result, JsonNode node, Throwable failure) {
    if (failure == null) {
      busy.set(false);
      result.complete(node);
      return;
    }
    Throwable cause = Futures.unwrap(failure);
    if (cause instanceof BackendException) {
      busy.set(false);
    } else {
      close();
    }
    result.completeExceptionally(cause);
  }

  @Override
  public boolean usable() {
    return !closed && connection.isOpen();
  }

  @Override
  public void close() {
    closed = true;
    IoUtils.safeClose(connection);
  }
}
