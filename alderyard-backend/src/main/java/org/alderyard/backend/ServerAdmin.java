package org.alderyard.backend;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.Position;

/** Administrative calls to a backend server: state queries and the steps of a failover. */
public interface ServerAdmin {

  /** Returns the server's own report of its state. */
  CompletableFuture<ServerReport> state(InetSocketAddress server, Duration timeout);

  /**
   * Waits until the server has reached a log position.
   *
   * @return the server's state when it has reached the position in the history of that term, or
   *     when {@code wait} has elapsed, whichever comes first
   */
  CompletableFuture<ServerReport> awaitPosition(
      InetSocketAddress server, Position position, LogProgress progress, Duration wait);

  /** Makes the server refuse writes and replication of lower terms; returns its new state. */
  CompletableFuture<ServerReport> fence(InetSocketAddress server, long term, Duration timeout);

  /** Promotes a server that is fenced at this term to its primary. The call is idempotent. */
  CompletableFuture<ServerReport> promote(InetSocketAddress server, long term, Duration timeout);

  /** Makes the server a replica of the primary of this term. */
  CompletableFuture<ServerReport> follow(
      InetSocketAddress server, long term, InetSocketAddress primary, Duration timeout);
}
