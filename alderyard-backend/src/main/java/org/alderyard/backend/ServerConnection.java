package org.alderyard.backend;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * One database connection: it runs one request at a time.
 *
 * <p>After a failure that leaves doubt about what the server still sends (a timeout, a broken or
 * unreadable answer) the connection is closed and {@link #usable()} is false for ever.
 */
public interface ServerConnection extends PooledConnection {

  /** Runs a statement, inside the transaction of this connection if one is open. */
  CompletableFuture<BackendAnswer> run(BackendStatement statement, Duration timeout);

  /** Opens a transaction on this connection. */
  CompletableFuture<Void> begin(long term, Duration timeout);

  /** Commits the transaction and returns the answer with the position of its last entry. */
  CompletableFuture<BackendAnswer> commit(Duration timeout);

  /** Drops the transaction. */
  CompletableFuture<Void> rollback(Duration timeout);
}
