package org.alderyard.proxy.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;

/**
 * The connections to all servers, never more to one server than its allowance.
 *
 * <p>Lock: the object itself; the allowance is read while it is held, and its lock is a leaf.
 * Connections are opened and closed, and futures completed, after it is released.
 */
public final class ServerPools implements AutoCloseable {
  private static final long RETRY_AFTER_MILLIS = 100;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final ServerConnector connector;
  private final ConnectionAllowance allowance;
  // Guarded by this.
  private final Map<ServerId, ServerPool> pools = new HashMap<>();
  private final List<ServerConnection> retired = new ArrayList<>();

  /** Creates pools without a limit. */
  public ServerPools(ServerConnector connector) {
    this(connector, ConnectionAllowance.UNLIMITED);
  }

  /** Creates pools that keep to an allowance. */
  public ServerPools(ServerConnector connector, ConnectionAllowance allowance) {
    this.connector = Objects.requireNonNull(connector);
    this.allowance = Objects.requireNonNull(allowance);
  }

  /**
   * Returns a connection that nobody else uses until it is given back.
   *
   * @return fails with {@code NOT_RUN} when none is to be had within the timeout
   */
  public CompletableFuture<ServerConnection> take(ServerState server, Duration timeout) {
    CompletableFuture<ServerConnection> waiter = new CompletableFuture<>();
    ServerPool pool;
    synchronized (this) {
      pool = pool(server);
      Optional<ServerConnection> idle = pool.takeIdle();
      if (idle.isPresent()) {
        return CompletableFuture.completedFuture(idle.get());
      }
      int allowed = allowance.allowed(server.id());
      if (allowed == 0) {
        return CompletableFuture.failedFuture(noLease(server));
      }
      if (pool.open() >= allowed) {
        pool.await(waiter);
        return limited(server, waiter, timeout);
      }
      pool.beginOpening();
    }
    return open(server, pool, timeout);
  }

  private static AlderyardException noLease(ServerState server) {
    return AlderyardException.notRun(
        ErrorCode.NO_ELIGIBLE_SERVER,
        "this proxy has no lease of connections to server " + server.id(),
        RETRY_AFTER_MILLIS);
  }

  private CompletableFuture<ServerConnection> limited(
      ServerState server, CompletableFuture<ServerConnection> waiter, Duration timeout) {
    return waiter
        .orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS)
        .exceptionallyCompose(
            failure -> {
              synchronized (this) {
                pool(server).stopWaiting(waiter);
              }
              boolean late = Futures.unwrap(failure) instanceof TimeoutException;
              return CompletableFuture.failedFuture(late ? allInUse(server) : failure);
            });
  }

  private static AlderyardException allInUse(ServerState server) {
    return AlderyardException.notRun(
        ErrorCode.OVERLOADED,
        "all leased connections to server " + server.id() + " are in use",
        RETRY_AFTER_MILLIS);
  }

  private CompletableFuture<ServerConnection> open(
      ServerState server, ServerPool pool, Duration timeout) {
    CompletableFuture<ServerConnection> opened;
    try {
      opened = connector.connect(server.address(), timeout);
    } catch (RuntimeException failure) {
      opened = CompletableFuture.failedFuture(failure);
    }
    return opened.whenComplete(
        (connection, failure) -> {
          synchronized (this) {
            if (failure == null) {
              pool.opened(connection);
            } else {
              pool.openingFailed();
            }
          }
          if (failure != null) {
            serveWaiter(server);
          }
        });
  }

  /** Gives a connection back; one that is in doubt or beyond the allowance is closed. */
  public void release(ServerState server, ServerConnection connection) {
    boolean keep;
    Optional<CompletableFuture<ServerConnection>> waiter = Optional.empty();
    synchronized (this) {
      ServerPool pool = pool(server);
      boolean ours = pool.giveBack(connection);
      keep = ours && connection.usable() && pool.open() < allowance.allowed(server.id());
      if (keep) {
        pool.keep(connection);
        waiter = pool.nextWaiter();
        if (waiter.isPresent()) {
          pool.takeIdle();
        }
      }
    }
    if (!keep) {
      connection.close();
      serveWaiter(server);
      return;
    }
    if (waiter.isPresent() && !waiter.get().complete(connection)) {
      release(server, connection);
    }
  }

  /** Opens a connection for one that waits, if there is room again. */
  private void serveWaiter(ServerState server) {
    Optional<CompletableFuture<ServerConnection>> waiter;
    ServerPool pool;
    synchronized (this) {
      pool = pool(server);
      if (pool.open() >= allowance.allowed(server.id())) {
        return;
      }
      waiter = pool.nextWaiter();
      if (waiter.isEmpty()) {
        return;
      }
      pool.beginOpening();
    }
    CompletableFuture<ServerConnection> waiting = waiter.get();
    open(server, pool, CONNECT_TIMEOUT)
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                waiting.completeExceptionally(failure);
              } else if (!waiting.complete(connection)) {
                release(server, connection);
              }
            });
  }

  /** Closes what the allowances do not cover any more, and opens for those that wait. */
  public void keepToAllowances(Iterable<ServerState> servers) {
    for (ServerState server : servers) {
      List<ServerConnection> excess;
      synchronized (this) {
        excess = pool(server).excess(allowance.allowed(server.id()));
        excess.addAll(retired);
        retired.clear();
      }
      excess.forEach(ServerConnection::close);
      serveWaiter(server);
    }
  }

  /** Returns how a server's connections were used since the last call. */
  public synchronized PoolUse readUse(ServerId server) {
    ServerPool pool = pools.get(server);
    return pool == null ? PoolUse.NONE : pool.readUse();
  }

  private ServerPool pool(ServerState server) {
    ServerPool pool = pools.get(server.id());
    if (pool != null && pool.incarnation() >= server.incarnation()) {
      return pool;
    }
    ServerPool fresh = new ServerPool(server.incarnation());
    if (pool != null) {
      retired.addAll(pool.retireTo(fresh));
    }
    pools.put(server.id(), fresh);
    return fresh;
  }

  @Override
  public void close() {
    List<ServerConnection> all = new ArrayList<>();
    synchronized (this) {
      pools.values().forEach(pool -> all.addAll(pool.excess(0)));
    }
    all.forEach(ServerConnection::close);
  }
}
