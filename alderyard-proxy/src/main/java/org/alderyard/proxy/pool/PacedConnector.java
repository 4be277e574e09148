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

/** Opens connections to each server at a bounded pace. */
public final class PacedConnector implements ServerConnector {
  /** Of all proxies together: an eighth of a server of 5 slots that opens one in 10 ms. */
  public static final int DEFAULT_PER_SECOND_OF_ALL = 60;

  /** What a proxy may open at once after a quiet time. */
  public static final int DEFAULT_BURST = 4;

  private final ServerConnector connector;
  private final MonotonicClock clock;
  private final WorkerPool workers;
  private final IntSupplier perSecond;
  private final int burst;
  private final Map<InetSocketAddress, ConnectionPacer> pacers = new ConcurrentHashMap<>();

  /**
   * Returns one proxy's part of the pace of all.
   *
   * <p>Guards against a start of minutes: a fixed pace for each, made for a dozen, kept a proxy
   * that is alone from using the connections that it has a lease of.
   */
  public static int share(long proxies) {
    return (int) Math.max(1, DEFAULT_PER_SECOND_OF_ALL / Math.max(1, proxies));
  }

  /** Creates a connector in front of the given one. */
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
    OptionalLong waitNanos = pacer.tryAcquire(clock.nowNanos());
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
