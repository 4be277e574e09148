package org.alderyard.proxy.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.pool.ConnectionAllowance;

/** The leases of all servers. Lock: the object itself, a leaf. */
public final class LeaseTable implements ConnectionAllowance {
  /** Beside one that hangs and one that rests in a transaction there is a third. */
  private static final int SPARE = 2;

  private final MonotonicClock clock;
  private final int withoutLease;
  // Guarded by this.
  private final Map<ServerId, ConnectionLease> leases = new HashMap<>();

  /** Creates a table without a lease. */
  public LeaseTable(MonotonicClock clock) {
    this(clock, 0);
  }

  /**
   * Creates a table for servers that refuse connections beyond their limit by themselves.
   *
   * <p>Guards against callers who are refused although the servers are up, when no leader grants
   * leases for a while: connections are kept then, as too many of them break nothing.
   *
   * @param withoutLease the connections to a server that a host may have before its first lease
   */
  public LeaseTable(MonotonicClock clock, int withoutLease) {
    this.clock = Objects.requireNonNull(clock);
    this.withoutLease = withoutLease;
  }

  @Override
  public synchronized int allowed(ServerId server) {
    ConnectionLease lease = leases.get(server);
    if (withoutLease == 0) {
      return lease == null ? 0 : lease.allowed(clock.nowNanos());
    }
    return lease == null ? withoutLease : Math.max(withoutLease, lease.lastAllowed());
  }

  @Override
  public int spare(ServerId server) {
    return withoutLease == 0 ? 0 : SPARE;
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
