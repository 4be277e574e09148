package org.alderyard.backend.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.client.ClientConnection;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendResponse;
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
 * <p>A response that arrives after its request timed out would be taken for the response to the
 * next request. Any failure that leaves the connection's state unknown therefore closes the
 * connection before the failure is reported, and no further request is sent on it.
 */
final class HttpServerConnection implements ServerConnection {
  private static final int READ_BUFFER_BYTES = 8 * 1024;

  private final ClientConnection connection;
  private final WorkerPool workers;
  private final int maxResponseBytes;
  // Used by one exchange at a time: the connection is closed when an exchange times out.
  private final ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private final AtomicLong lastRequestNumber = new AtomicLong();
  private final AtomicBoolean requestInFlight = new AtomicBoolean();
  private volatile boolean closed;

  HttpServerConnection(ClientConnection connection, WorkerPool workers, int maxResponseBytes) {
    this.connection = connection;
    this.workers = workers;
    this.maxResponseBytes = maxResponseBytes;
  }

  @Override
  public CompletableFuture<BackendResponse> run(BackendStatement statement, Duration timeout) {
    return post(BackendPaths.STATEMENTS, BackendJson.statement(statement), timeout)
        .thenApply(BackendJson::response);
  }

  @Override
  public CompletableFuture<Void> begin(long term, Duration timeout) {
    return post(BackendPaths.BEGIN, BackendJson.object().put("term", term), timeout)
        .thenApply(ignored -> null);
  }

  @Override
  public CompletableFuture<BackendResponse> commit(Duration timeout) {
    return post(BackendPaths.COMMIT, BackendJson.object(), timeout)
        .thenApply(BackendJson::response);
  }

  @Override
  public CompletableFuture<Void> rollback(Duration timeout) {
    return post(BackendPaths.ROLLBACK, BackendJson.object(), timeout).thenApply(ignored -> null);
  }

  CompletableFuture<JsonNode> get(String path, Duration timeout) {
    return send(path, Optional.empty(), timeout);
  }

  CompletableFuture<JsonNode> post(String path, JsonNode body, Duration timeout) {
    return send(path, Optional.of(body), timeout);
  }

  private CompletableFuture<JsonNode> send(String path, Optional<JsonNode> body, Duration timeout) {
    if (!usable()) {
      // The outcome is NOT_RUN, as no bytes of the request have been sent.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "the connection is closed"));
    }
    if (!requestInFlight.compareAndSet(false, true)) {
      return CompletableFuture.failedFuture(
          new AlderyardException(
              ErrorCode.INTERNAL,
              Outcome.NOT_RUN,
              "the connection already has a request in flight"));
    }
    CompletableFuture<JsonNode> response =
        new HttpExchange(connection, maxResponseBytes, buffer, lastRequestNumber.incrementAndGet())
            .send(path, body);
    CompletableFuture<JsonNode> result = new CompletableFuture<>();
    workers
        .withTimeout(response, timeout, Outcome.OUTCOME_UNKNOWN)
        .whenComplete((node, failure) -> completeRequest(result, node, failure));
    return result;
  }

  private void completeRequest(
      CompletableFuture<JsonNode> result, JsonNode node, Throwable failure) {
    if (failure == null) {
      requestInFlight.set(false);
      result.complete(node);
      return;
    }
    Throwable cause = Futures.unwrap(failure);
    if (cause instanceof BackendException) {
      requestInFlight.set(false);
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
