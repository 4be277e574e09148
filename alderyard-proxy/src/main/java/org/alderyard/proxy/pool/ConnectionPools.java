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
import org.alderyard.backend.PooledConnection;
import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;

/**
 * The connections to all servers, never more to one server than its allowance.
 *
 * <p>Lock: the object itself; the allowance is read while it is held, and its lock is a leaf.
 * Connections are opened and closed, and futures completed, after it is released.
 */
public class ConnectionPools<C extends PooledConnection> implements AutoCloseable {
  private static final long RETRY_AFTER_MILLIS = 100;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final ConnectionSource<C> source;
  private final ConnectionAllowance allowance;
  private final MonotonicClock clock;
  // Guarded by this.
  private final Map<ServerId, ServerPool<C>> pools = new HashMap<>();
  private final List<C> retired = new ArrayList<>();

  /** Creates pools without a limit. */
  public ConnectionPools(ConnectionSource<C> source) {
    this(source, ConnectionAllowance.UNLIMITED);
  }

  /** Creates pools that keep to an allowance. */
  public ConnectionPools(ConnectionSource<C> source, ConnectionAllowance allowance) {
    this(source, allowance, MonotonicClock.system());
  }

  /** Creates pools that keep to an allowance, by the given clock. */
  public ConnectionPools(
      ConnectionSource<C> source, ConnectionAllowance allowance, MonotonicClock clock) {
    this.source = Objects.requireNonNull(source);
    this.allowance = Objects.requireNonNull(allowance);
    this.clock = Objects.requireNonNull(clock);
  }

  /**
   * Returns a connection that nobody else uses until it is given back.
   *
   * @return fails with {@code NOT_RUN} when none is to be had within the timeout
   */
  public CompletableFuture<C> take(ServerState server, Duration timeout) {
    return take(server, 0, timeout);
  }

  /**
   * Returns a connection that nobody else uses until it is given back.
   *
   * @param priority who waits is served in this order, 0 first, and then in the order of arrival
   * @return fails with {@code NOT_RUN} when none is to be had within the timeout
   */
  public CompletableFuture<C> take(ServerState server, int priority, Duration timeout) {
    CompletableFuture<C> waiter = new CompletableFuture<>();
    ServerPool<C> pool;
    synchronized (this) {
      pool = pool(server);
      Optional<C> idle = pool.takeIdle();
      if (idle.isPresent()) {
        return CompletableFuture.completedFuture(idle.get());
      }
      if (allowance.allowed(server.id()) == 0) {
        return CompletableFuture.failedFuture(noLease(server));
      }
      if (pool.isShut(clock.nowNanos())) {
        return CompletableFuture.failedFuture(serverFull(server));
      }
      if (!mayOpen(server, pool)) {
        pool.await(waiter, priority);
        lookAgain(server, pool.heldUpNanos());
        return limited(server, waiter, timeout);
      }
      pool.beginOpening();
    }
    return open(server, pool, timeout);
  }

  /**
   * Returns whether another connection may be opened.
   *
   * <p>Guards against statements that wait behind one whose answer was lost: a host with a single
   * connection to a server ran nothing there for the rest of that statement's time, though the
   * server was idle. A connection that is held up does not count, for a few of them.
   */
  private boolean mayOpen(ServerState server, ServerPool<C> pool) {
    if (!pool.mayOpen(clock.nowNanos())) {
      return false;
    }
    int allowed = allowance.allowed(server.id());
    if (pool.open() < allowed) {
      return true;
    }
    return pool.open() < allowed + Math.min(allowance.spare(server.id()), pool.heldUp());
  }

  /** Sees whether one that waits may have a connection once those in use are held up. */
  private void lookAgain(ServerState server, long laterNanos) {
    if (allowance.spare(server.id()) > 0) {
      new CompletableFuture<Void>()
          .completeOnTimeout(null, laterNanos, TimeUnit.NANOSECONDS)
          .thenRun(() -> serveWaiter(server));
    }
  }

  private static AlderyardException noLease(ServerState server) {
    return AlderyardException.notRun(
        ErrorCode.NO_ELIGIBLE_SERVER,
        "this proxy has no lease of connections to server " + server.id(),
        RETRY_AFTER_MILLIS);
  }

  private static AlderyardException serverFull(ServerState server) {
    return AlderyardException.notRun(
        ErrorCode.NO_ELIGIBLE_SERVER,
        "server " + server.id() + " took no further connection a moment ago",
        RETRY_AFTER_MILLIS);
  }

  private CompletableFuture<C> limited(
      ServerState server, CompletableFuture<C> waiter, Duration timeout) {
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

  private CompletableFuture<C> open(ServerState server, ServerPool<C> pool, Duration timeout) {
    CompletableFuture<C> opened;
    try {
      opened = source.connect(server, timeout);
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
              if (isConnectionLimit(failure)) {
                pool.openingRefused(clock.nowNanos());
              }
            }
          }
          if (failure != null) {
            serveWaiter(server);
          }
        });
  }

  private static boolean isConnectionLimit(Throwable failure) {
    return Futures.unwrap(failure) instanceof ConnectRefusedException refused
        && refused.refusal() == RefusalCode.CONNECTION_LIMIT;
  }

  /** Gives a connection back; one that is in doubt or beyond the allowance is closed. */
  public void release(ServerState server, C connection) {
    boolean keep;
    Optional<CompletableFuture<C>> waiter = Optional.empty();
    synchronized (this) {
      ServerPool<C> pool = pool(server);
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

  /**
   * Opens a connection for one that waits, if there is room again.
   *
   * <p>Guards against a storm on a server that is full: after a loss of power all hosts came back
   * while servers still counted the dead connections, each statement that waited asked for one of
   * its own, and servers refused 1,600 of them within a second. Those that wait get connections
   * that are given back; without any they turn to another server at once.
   */
  private void serveWaiter(ServerState server) {
    Optional<CompletableFuture<C>> waiter;
    ServerPool<C> pool;
    List<CompletableFuture<C>> hopeless = List.of();
    synchronized (this) {
      pool = pool(server);
      if (pool.isShut(clock.nowNanos())) {
        hopeless = pool.takeWaiters();
      }
      waiter = mayOpen(server, pool) ? pool.nextWaiter() : Optional.empty();
      if (waiter.isPresent()) {
        pool.beginOpening();
      }
    }
    hopeless.forEach(waiting -> waiting.completeExceptionally(serverFull(server)));
    waiter.ifPresent(waiting -> openFor(server, pool, waiting));
  }

  private void openFor(ServerState server, ServerPool<C> pool, CompletableFuture<C> waiting) {
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
      List<C> excess;
      synchronized (this) {
        excess = pool(server).excess(allowance.allowed(server.id()));
        excess.addAll(retired);
        retired.clear();
      }
      excess.forEach(PooledConnection::close);
      serveWaiter(server);
    }
  }

  /** Returns how a server's connections were used since the last call. */
  public synchronized PoolUse readUse(ServerId server) {
    ServerPool<C> pool = pools.get(server);
    return pool == null ? PoolUse.NONE : pool.readUse();
  }

  /**
   * Returns how many connections to a server were in use or waited for, on average since the last
   * call.
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
    ServerPool<C> fresh = new ServerPool<>(server.incarnation(), clock);
    if (pool != null) {
      retired.addAll(pool.retireTo(fresh));
    }
    pools.put(server.id(), fresh);
    return fresh;
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
