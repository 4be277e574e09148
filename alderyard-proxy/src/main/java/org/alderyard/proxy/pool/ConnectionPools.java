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
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.pool.RequestQueue.QueuedRequest;

/**
 * The connections to all servers, limited per server by an allowance.
 *
 * <p>Thread-safe. The lock is this object. The allowance is read while the lock is held and must
 * not acquire further locks. Connections are opened and closed, and futures completed, after the
 * lock is released.
 */
public class ConnectionPools<C extends PooledConnection> implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final ConnectionSource<C> source;
  private final ConnectionAllowance allowance;
  private final MonotonicClock clock;
  private final ConnectionSharing sharing;
  private final OwnerWeights weights;
  // Guarded by this.
  private final Map<ServerId, ServerPool<C>> pools = new HashMap<>();
  private final List<C> retired = new ArrayList<>();
  private long replacedConnections;

  /** Creates pools without a connection limit. */
  public ConnectionPools(ConnectionSource<C> source) {
    this(source, ConnectionAllowance.UNLIMITED);
  }

  /** Creates pools that are limited by an allowance. */
  public ConnectionPools(ConnectionSource<C> source, ConnectionAllowance allowance) {
    this(source, allowance, MonotonicClock.system());
  }

  /** Creates pools that are limited by an allowance and use the given clock. */
  public ConnectionPools(
      ConnectionSource<C> source, ConnectionAllowance allowance, MonotonicClock clock) {
    this(source, allowance, clock, ConnectionSharing.RECENCY, OwnerWeights.EQUAL);
  }

  /** Creates pools whose connections organisations share in the given way, by their weights. */
  public ConnectionPools(
      ConnectionSource<C> source,
      ConnectionAllowance allowance,
      MonotonicClock clock,
      ConnectionSharing sharing,
      OwnerWeights weights) {
    this.weights = Objects.requireNonNull(weights);
    this.sharing = Objects.requireNonNull(sharing);
    this.source = Objects.requireNonNull(source);
    this.allowance = Objects.requireNonNull(allowance);
    this.clock = Objects.requireNonNull(clock);
  }

  /**
   * Acquires a connection of any owner for exclusive use until it is released, with the highest
   * priority.
   *
   * @return fails with {@code NOT_RUN} if no connection is available within the timeout
   */
  public CompletableFuture<C> acquire(ServerState server, Duration timeout) {
    return acquire(server, Optional.empty(), 0, timeout);
  }

  /**
   * Acquires a connection of an owner for exclusive use until it is released.
   *
   * @param priority queued requests are served in ascending order of priority, 0 first; owners take
   *     turns within a priority
   * @return fails with {@code NOT_RUN} if no connection is available within the timeout
   */
  public CompletableFuture<C> acquire(
      ServerState server, ConnectionOwner owner, int priority, Duration timeout) {
    return acquire(server, Optional.of(owner), priority, timeout);
  }

  private CompletableFuture<C> acquire(
      ServerState server, Optional<ConnectionOwner> owner, int priority, Duration timeout) {
    CompletableFuture<C> request = new CompletableFuture<>();
    ServerPool<C> pool;
    ConnectionOwner newOwner;
    Optional<C> replaced = Optional.empty();
    synchronized (this) {
      pool = pool(server);
      Optional<C> idle = pool.takeIdle(owner);
      if (idle.isPresent()) {
        return CompletableFuture.completedFuture(idle.get());
      }
      if (allowance.allowed(server.id()) == 0) {
        return CompletableFuture.failedFuture(PoolErrors.noLeaseError(server));
      }
      if (pool.isUnavailable(clock.nowNanos())) {
        return CompletableFuture.failedFuture(PoolErrors.connectionLimitError(server));
      }
      if (!mayOpen(server, pool)) {
        replaced = takeReplaceable(pool);
        if (replaced.isEmpty()) {
          pool.enqueue(request, owner, priority);
          scheduleRetry(server, pool.blockedAfterNanos());
          return withTimeout(server, request, timeout);
        }
      }
      newOwner = pool.beginOpening(owner);
    }
    replaced.ifPresent(PooledConnection::close);
    return open(server, pool, newOwner, timeout);
  }

  /**
   * Takes an idle connection of another owner that may be replaced by a new one. While the server
   * refuses connections, none is replaced.
   */
  private Optional<C> takeReplaceable(ServerPool<C> pool) {
    Optional<C> replaced =
        pool.mayOpen(clock.nowNanos()) ? pool.takeReplaceable() : Optional.empty();
    if (replaced.isPresent()) {
      replacedConnections++;
    }
    return replaced;
  }

  /**
   * Returns whether another connection may be opened.
   *
   * <p>Blocked connections do not count against the allowance, up to its spare number. Otherwise
   * one lost answer would block a host that has a single connection to a server until the statement
   * times out, although the server is idle.
   */
  private boolean mayOpen(ServerState server, ServerPool<C> pool) {
    if (!pool.mayOpen(clock.nowNanos())) {
      return false;
    }
    int allowed = allowance.allowed(server.id());
    if (pool.open() < allowed) {
      return true;
    }
    return pool.open() < allowed + Math.min(allowance.spare(server.id()), pool.blocked());
  }

  /**
   * Schedules another attempt to serve a queued request, for the time when connections in use may
   * count as blocked.
   */
  private void scheduleRetry(ServerState server, long delayNanos) {
    if (allowance.spare(server.id()) > 0) {
      new CompletableFuture<Void>()
          .completeOnTimeout(null, delayNanos, TimeUnit.NANOSECONDS)
          .thenRun(() -> serveNextRequest(server));
    }
  }

  private CompletableFuture<C> withTimeout(
      ServerState server, CompletableFuture<C> request, Duration timeout) {
    return request
        .orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS)
        .exceptionallyCompose(
            failure -> {
              synchronized (this) {
                pool(server).removeRequest(request);
              }
              boolean timedOut = Futures.unwrap(failure) instanceof TimeoutException;
              return CompletableFuture.failedFuture(
                  timedOut ? PoolErrors.allInUseError(server) : failure);
            });
  }

  private CompletableFuture<C> open(
      ServerState server, ServerPool<C> pool, ConnectionOwner owner, Duration timeout) {
    CompletableFuture<C> opened;
    try {
      opened = source.connect(server, owner, timeout);
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
              if (PoolErrors.isConnectionLimit(failure)) {
                pool.backOff(clock.nowNanos());
              }
            }
          }
          if (failure != null) {
            serveNextRequest(server);
          }
        });
  }

  /**
   * Returns a connection to its pool. A connection that is unusable or exceeds the allowance is
   * closed.
   */
  public void release(ServerState server, C connection) {
    boolean keep;
    Optional<QueuedRequest<C>> request = Optional.empty();
    Optional<ConnectionOwner> newOwner = Optional.empty();
    ServerPool<C> pool;
    synchronized (this) {
      pool = pool(server);
      boolean wasInUse = pool.release(connection);
      keep = wasInUse && connection.usable() && pool.open() < allowance.allowed(server.id());
      if (keep) {
        request = pool.pollRequestFor(connection);
        if (request.isPresent() && !request.get().accepts(connection)) {
          newOwner = Optional.of(pool.beginOpening(request.get().owner()));
          replacedConnections++;
        } else {
          pool.addIdle(connection);
          request.ifPresent(accepted -> pool(server).takeIdle(Optional.of(connection.owner())));
        }
      }
    }
    if (!keep) {
      connection.close();
      serveNextRequest(server);
    } else if (newOwner.isPresent()) {
      connection.close();
      openFor(server, pool, newOwner.get(), request.get().connection());
    } else if (request.isPresent() && !request.get().connection().complete(connection)) {
      release(server, connection);
    }
  }

  /**
   * Opens a connection for the next queued request, if the allowance and the backoff permit it.
   *
   * <p>While a server without connections from this proxy is in backoff, all queued requests fail
   * immediately, so that their statements can use another server; otherwise they receive released
   * connections. After a power loss, hosts restarted while servers still counted the dead
   * connections; when each queued statement opened its own connection, servers refused 1,600
   * connections within a second.
   */
  private void serveNextRequest(ServerState server) {
    Optional<QueuedRequest<C>> request;
    Optional<ConnectionOwner> newOwner = Optional.empty();
    ServerPool<C> pool;
    List<CompletableFuture<C>> unserved = List.of();
    synchronized (this) {
      pool = pool(server);
      if (pool.isUnavailable(clock.nowNanos())) {
        unserved = pool.takeRequests();
      }
      request = mayOpen(server, pool) ? pool.pollRequest() : Optional.empty();
      if (request.isPresent()) {
        newOwner = Optional.of(pool.beginOpening(request.get().owner()));
      }
    }
    unserved.forEach(
        pending -> pending.completeExceptionally(PoolErrors.connectionLimitError(server)));
    if (newOwner.isPresent()) {
      openFor(server, pool, newOwner.get(), request.get().connection());
    }
  }

  private void openFor(
      ServerState server, ServerPool<C> pool, ConnectionOwner owner, CompletableFuture<C> pending) {
    open(server, pool, owner, CONNECT_TIMEOUT)
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                pending.completeExceptionally(failure);
              } else if (!pending.complete(connection)) {
                release(server, connection);
              }
            });
  }

  /** Closes connections that exceed the allowances, and opens connections for queued requests. */
  public void enforceAllowances(Iterable<ServerState> servers) {
    for (ServerState server : servers) {
      List<C> excess;
      synchronized (this) {
        excess = pool(server).excess(allowance.allowed(server.id()));
        excess.addAll(retired);
        retired.clear();
      }
      excess.forEach(PooledConnection::close);
      serveNextRequest(server);
    }
  }

  /** Returns how many connections were closed to open one of another owner in their place. */
  public synchronized long replacedConnections() {
    return replacedConnections;
  }

  /** Returns the use of a server's connections since the last call. */
  public synchronized PoolUse takeUse(ServerId server) {
    ServerPool<C> pool = pools.get(server);
    return pool == null ? PoolUse.NONE : pool.takeUse();
  }

  /**
   * Returns the time-weighted mean number of connections to a server in use, being opened or
   * requested, since the last call.
   */
  public synchronized double takeMeanDemand(ServerId server) {
    ServerPool<C> pool = pools.get(server);
    return pool == null ? 0 : pool.takeMeanDemand();
  }

  private ServerPool<C> pool(ServerState server) {
    ServerPool<C> pool = pools.get(server.id());
    if (pool != null && pool.incarnation() >= server.incarnation()) {
      return pool;
    }
    ServerPool<C> successor = new ServerPool<>(server.incarnation(), clock, sharing, weights);
    if (pool != null) {
      retired.addAll(pool.transferRequestsTo(successor));
    }
    pools.put(server.id(), successor);
    return successor;
  }

  @Override
  public void close() {
    List<C> all = new ArrayList<>();
    synchronized (this) {
      pools.values().forEach(pool -> all.addAll(pool.excess(0)));
    }
    all.forEach(PooledConnection::close);
  }
}
