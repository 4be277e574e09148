package org.alderyard.proxy.pool;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.limit.ConnectionPacer;

/** Limits the rate at which connections to each server are opened. */
public final class PacedConnector implements ServerConnector {
  /**
   * The default rate of all proxies together. Opening connections at this rate uses an eighth of a
   * server with 5 slots that needs 10 ms per connection.
   */
  public static final int DEFAULT_TOTAL_PER_SECOND = 60;

  /** The number of connections that a proxy may open without delay after an idle period. */
  public static final int DEFAULT_BURST = 4;

  private final ServerConnector connector;
  private final MonotonicClock clock;
  private final WorkerPool workers;
  private final IntSupplier perSecond;
  private final int burst;
  private final Map<InetSocketAddress, ConnectionPacer> pacers = new ConcurrentHashMap<>();

  /**
   * Returns the rate of one proxy, in connections per second: an equal share of the total rate, at
   * least 1. With a fixed rate per proxy, meant for a dozen, a single proxy would need minutes to
   * open the connections of its lease.
   */
  public static int ratePerProxy(long proxies) {
    return (int) Math.max(1, DEFAULT_TOTAL_PER_SECOND / Math.max(1, proxies));
  }

  /** Creates a connector that delegates to the given connector. */
  public PacedConnector(
      ServerConnector connector,
      MonotonicClock clock,
      WorkerPool workers,
      IntSupplier perSecond,
      int burst) {
    this.connector = Objects.requireNonNull(connector);
    this.clock = Objects.requireNonNull(clock);
    this.workers = Objects.requireNonNull(workers);
    this.perSecond = Objects.requireNonNull(perSecond);
    this.burst = burst;
  }

  @Override
  public CompletableFuture<ServerConnection> connect(InetSocketAddress address, Duration timeout) {
    ConnectionPacer pacer =
        pacers.computeIfAbsent(address, key -> new ConnectionPacer(perSecond, burst));
    OptionalLong delayNanos = pacer.tryAcquire(clock.nowNanos());
    if (delayNanos.isEmpty()) {
      return connector.connect(address, timeout);
    }
    Duration delay = Duration.ofNanos(delayNanos.getAsLong());
    if (delay.compareTo(timeout) >= 0) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.OVERLOADED,
              "the rate limit for opening connections to " + address + " is reached",
              delay.toMillis() + 1));
    }
    CompletableFuture<ServerConnection> result = new CompletableFuture<>();
    workers.schedule(delay, () -> connectAfterDelay(address, timeout.minus(delay), result));
    return result;
  }

  private void connectAfterDelay(
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
