package org.alderyard.backend;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.id.Position;

/** The calls about a server itself: its state, and the steps that replace a primary. */
public interface ServerAdmin {

  /** Returns what the server says of itself. */
  CompletableFuture<ServerReport> state(InetSocketAddress server, Duration timeout);

  /**
   * Waits until the server has come to a position.
   *
   * @return the server's state once it holds the position in that term's history, or its state when
   *     {@code wait} is over, whichever comes first
   */
  CompletableFuture<ServerReport> awaitPosition(
      InetSocketAddress server, Position position, Progress progress, Duration wait);

  /** Makes the server refuse writes and replication of lower terms; returns its state after. */
  CompletableFuture<ServerReport> fence(InetSocketAddress server, long term, Duration timeout);

  /** Makes the server, fenced at this term, its primary; the call can be repeated. */
  CompletableFuture<ServerReport> promote(InetSocketAddress server, long term, Duration timeout);

  /** Makes the server a replica of the primary of this term. */
  CompletableFuture<ServerReport> follow(
      InetSocketAddress server, long term, InetSocketAddress primary, Duration timeout);
}
