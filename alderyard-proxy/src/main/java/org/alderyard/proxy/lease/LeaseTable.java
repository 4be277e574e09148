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
  private final MonotonicClock clock;
  // Guarded by this.
  private final Map<ServerId, ConnectionLease> leases = new HashMap<>();

  /** Creates a table without a lease. */
  public LeaseTable(MonotonicClock clock) {
    this.clock = Objects.requireNonNull(clock);
  }

  @Override
  public synchronized int allowed(ServerId server) {
    ConnectionLease lease = leases.get(server);
    return lease == null ? 0 : lease.allowed(clock.nowNanos());
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
