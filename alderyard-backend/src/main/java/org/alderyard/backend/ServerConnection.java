package org.alderyard.backend;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A database connection that runs one request at a time.
 *
 * <p>A timeout or a truncated or malformed response leaves it unknown what the server still sends;
 * after such a failure the connection is closed and {@link #usable()} stays false.
 */
public interface ServerConnection extends PooledConnection {

  /** Runs a statement, within the transaction of this connection if one is open. */
  CompletableFuture<BackendResponse> run(BackendStatement statement, Duration timeout);

  /** Opens a transaction on this connection. */
  CompletableFuture<Void> begin(long term, Duration timeout);

  /** Commits the transaction and returns a response with the position of its last log entry. */
  CompletableFuture<BackendResponse> commit(Duration timeout);

  /** Rolls back the transaction. */
  CompletableFuture<Void> rollback(Duration timeout);
}
