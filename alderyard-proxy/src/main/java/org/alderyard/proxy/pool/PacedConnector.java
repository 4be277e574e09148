package org.alderyard.proxy.pool;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.limit.ConnectionPacer;

/** Opens connections to each server at a bounded pace. */
public final class PacedConnector implements ServerConnector {
  /** Twelve proxies at this pace take up to a tenth of a server that opens one in 10 ms. */
  public static final int DEFAULT_PER_SECOND = 5;

  /** What a proxy may open at once after a quiet time. */
  public static final int DEFAULT_BURST = 4;

  private final ServerConnector connector;
  private final MonotonicClock clock;
  private final WorkerPool workers;
  private final int perSecond;
  private final int burst;
  private final Map<InetSocketAddress, ConnectionPacer> pacers = new ConcurrentHashMap<>();

  /** Creates a connector in front of the given one. */
  public PacedConnector(
      ServerConnector connector,
      MonotonicClock clock,
      WorkerPool workers,
      int perSecond,
      int burst) {
    this.connector = Objects.requireNonNull(connector);
    this.clock = Objects.requireNonNull(clock);
    this.workers = Objects.requireNonNull(workers);
    this.perSecond = perSecond;
    this.burst = burst;
  }

  @Override
  public CompletableFuture<ServerConnection> connect(InetSocketAddress address, Duration timeout) {
    ConnectionPacer pacer =
        pacers.computeIfAbsent(address, key -> new ConnectionPacer(perSecond, burst));
    OptionalLong waitNanos = pacer.tryOpen(clock.nowNanos());
    if (waitNanos.isEmpty()) {
      return connector.connect(address, timeout);
    }
    Duration wait = Duration.ofNanos(waitNanos.getAsLong());
    if (wait.compareTo(timeout) >= 0) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.OVERLOADED,
              "connections to " + address + " are opened at a bounded pace",
              wait.toMillis() + 1));
    }
    CompletableFuture<ServerConnection> result = new CompletableFuture<>();
    workers.schedule(wait, () -> connectLater(address, timeout.minus(wait), result));
    return result;
  }

  private void connectLater(
      InetSocketAddress address, Duration timeout, CompletableFuture<ServerConnection> result) {
    connect(address, timeout)
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                result.completeExceptionally(failure);
              } else if (!result.complete(connection)) {
                connection.close();
              }
            });
  }
}
