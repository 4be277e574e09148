package org.alderyard.backend.session;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ServerState;

/** Asks a server for its part in its group; costs it as much as a statement. */
@FunctionalInterface
public interface StandingProbe {

  /** Asks on a connection of its own, so that busy pools do not delay a failover. */
  CompletableFuture<ServerStanding> ask(ServerState server, Duration timeout);
}
