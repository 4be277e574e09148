package org.alderyard.proxy.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.pool.ConnectionAllowance;

/**
 * The connection leases of all servers. Thread-safe; no other lock is acquired while the lock of
 * this object is held.
 */
public final class LeaseTable implements ConnectionAllowance {
  /**
   * With two spare connections, one remains usable while a lost answer blocks one connection and an
   * idle transaction holds another.
   */
  private static final int SPARE_CONNECTIONS = 2;

  private final MonotonicClock clock;
  private final Optional<ToIntFunction<ServerId>> minConnections;
  // Guarded by this.
  private final Map<ServerId, ConnectionLease> leases = new HashMap<>();

  /** Creates a table without leases. No connection is allowed without a lease. */
  public LeaseTable(MonotonicClock clock) {
    this(clock, Optional.empty());
  }

  /**
   * Creates a table for servers that enforce their own connection limits.
   *
   * <p>The last leases stay in force after they expire. Otherwise callers would be refused while no
   * leader grants leases, although the servers are available; too many connections do no harm to
   * such servers.
   *
   * @param minConnections returns the number of connections to a server that this host may have
   *     regardless of its lease
   */
  public LeaseTable(MonotonicClock clock, ToIntFunction<ServerId> minConnections) {
    this(clock, Optional.of(minConnections));
  }

  private LeaseTable(MonotonicClock clock, Optional<ToIntFunction<ServerId>> minConnections) {
    this.clock = Objects.requireNonNull(clock);
    this.minConnections = minConnections;
  }

  @Override
  public int allowed(ServerId server) {
    if (minConnections.isEmpty()) {
      return leased(server, lease -> lease.allowed(clock.nowNanos()));
    }
    int minimum = minConnections.get().applyAsInt(server);
    return Math.max(minimum, leased(server, ConnectionLease::lastGranted));
  }

  private synchronized int leased(ServerId server, ToIntFunction<ConnectionLease> connections) {
    ConnectionLease lease = leases.get(server);
    return lease == null ? 0 : connections.applyAsInt(lease);
  }

  @Override
  public int spare(ServerId server) {
    return minConnections.isEmpty() ? 0 : SPARE_CONNECTIONS;
  }

  /**
   * Returns whether no connections to the server are leased, so that there is no lease to renew.
   */
  synchronized boolean hasNoLease(ServerId server) {
    ConnectionLease lease = leases.get(server);
    return lease == null || lease.lastGranted() == 0;
  }

  /** Starts a request for one server. Returns the maximum number of connections until its reply. */
  synchronized int request(ServerId server, long sequence, int open) {
    return leases
        .computeIfAbsent(server, id -> new ConnectionLease())
        .request(sequence, open, clock.nowNanos());
  }

  /** Applies the reply for one server. A reply to an earlier request is ignored. */
  synchronized void reply(ServerId server, long sequence, int connections, long leaseNanos) {
    ConnectionLease lease = leases.get(server);
    if (lease != null) {
      lease.reply(sequence, connections, leaseNanos);
    }
  }

  /** Removes the leases of all servers that are not in the given set. */
  synchronized void retain(Set<ServerId> servers) {
    leases.keySet().retainAll(servers);
  }
}
