package org.alderyard.backend.session;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.view.ServerState;

/** Opens sessions on backend servers. */
@FunctionalInterface
public interface SessionConnector {

  /**
   * Connects to a server in the name of an owner. The future fails with outcome {@code NOT_RUN} on
   * any error, also if another server listens at the address.
   */
  CompletableFuture<SessionConnection> connect(
      ServerState server, ConnectionOwner owner, Duration timeout);
}
