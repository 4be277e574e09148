package org.alderyard.backend.session;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ServerState;

/** Opens sessions on backend servers. */
@FunctionalInterface
public interface SessionConnector {

  /** Connects; a server that is not the one asked for is refused, and the failure is NOT_RUN. */
  CompletableFuture<SessionConnection> connect(ServerState server, Duration timeout);
}
