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

/** The leases of all servers. Lock: the object itself, a leaf. */
public final class LeaseTable implements ConnectionAllowance {
  /** Beside one that hangs and one that rests in a transaction there is a third. */
  private static final int SPARE = 2;

  private final MonotonicClock clock;
  private final Optional<ToIntFunction<ServerId>> withoutLease;
  // Guarded by this.
  private final Map<ServerId, ConnectionLease> leases = new HashMap<>();

  /** Creates a table without a lease. */
  public LeaseTable(MonotonicClock clock) {
    this(clock, Optional.empty());
  }

  /**
   * Creates a table for servers that refuse connections beyond their limit by themselves.
   *
   * <p>Guards against callers who are refused although the servers are up, when no leader grants
   * leases for a while: connections are kept then, as too many of them break nothing.
   *
   * @param withoutLease the connections to a server that this host may have whatever its lease says
   */
  public LeaseTable(MonotonicClock clock, ToIntFunction<ServerId> withoutLease) {
    this(clock, Optional.of(withoutLease));
  }

  private LeaseTable(MonotonicClock clock, Optional<ToIntFunction<ServerId>> withoutLease) {
    this.clock = Objects.requireNonNull(clock);
    this.withoutLease = withoutLease;
  }

  @Override
  public int allowed(ServerId server) {
    if (withoutLease.isEmpty()) {
      return leased(server, lease -> lease.allowed(clock.nowNanos()));
    }
    int first = withoutLease.get().applyAsInt(server);
    return Math.max(first, leased(server, ConnectionLease::lastAllowed));
  }

  private synchronized int leased(ServerId server, ToIntFunction<ConnectionLease> connections) {
    ConnectionLease lease = leases.get(server);
    return lease == null ? 0 : connections.applyAsInt(lease);
  }

  @Override
  public int spare(ServerId server) {
    return withoutLease.isEmpty() ? 0 : SPARE;
  }

  /** Returns whether there is no lease of a server's connections, so that none is to be renewed. */
  synchronized boolean unleased(ServerId server) {
    ConnectionLease lease = leases.get(server);
    return lease == null || lease.lastAllowed() == 0;
  }

  /** Begins a request for one server; returns the most connections until its reply. */
  synchronized int request(ServerId server, long sequence, int open) {
    return leases
        .computeIfAbsent(server, id -> new ConnectionLease())
        .request(sequence, open, clock.nowNanos());
  }

  /** Takes in the reply for one server. */
  synchronized void reply(ServerId server, long sequence, int connections, long leaseNanos) {
    ConnectionLease lease = leases.get(server);
    if (lease != null) {
      lease.reply(sequence, connections, leaseNanos);
    }
  }

  /** Forgets the servers that left the view. */
  synchronized void retain(Set<ServerId> servers) {
    leases.keySet().retainAll(servers);
  }
}
