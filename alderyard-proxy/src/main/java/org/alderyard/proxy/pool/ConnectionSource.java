package org.alderyard.proxy.pool;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;
import org.alderyard.common.view.ServerState;

/**
 * Opens the connections of a pool.
 *
 * @param <C> the type of connection
 */
@FunctionalInterface
public interface ConnectionSource<C extends PooledConnection> {

  /**
   * Opens a connection in the name of an owner. A failure of the future has the outcome {@code
   * NOT_RUN}.
   */
  CompletableFuture<C> connect(ServerState server, ConnectionOwner owner, Duration timeout);
}
