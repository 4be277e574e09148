package org.alderyard.backend;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Opens connections to backend servers. */
@FunctionalInterface
public interface ServerConnector {

  /** Opens a connection; a failed future has the outcome {@code NOT_RUN}. */
  CompletableFuture<ServerConnection> connect(InetSocketAddress address, Duration timeout);
}
