package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.grant.GrantLedger;
import org.alderyard.control.grant.GrantOptions;
import org.alderyard.control.grant.ProxyId;
import org.alderyard.proxy.lease.ConnectionTarget;
import org.alderyard.proxy.lease.PeakConnectionTarget;
import org.alderyard.proxy.lease.SmoothedConnectionTarget;
import org.alderyard.proxy.pool.PoolUse;
import org.junit.jupiter.api.Test;

/**
 * Tests that all hosts can reconnect to a server after a simultaneous power loss.
 *
 * <p>The hosts return after a second, while the server, which accepts 25 connections, counts dead
 * ones for three seconds. Hosts that together held all 25 connections were refused until the server
 * had noticed the loss, and so were their callers.
 *
 * <p>The model has eleven hosts with a mean demand of 0.4 connections and a peak of two. It uses
 * the real grant ledger and connection targets; the server is only a counter.
 */
class SimultaneousReconnectTest {
  private static final int MAX_CONNECTIONS = 25;
  private static final int HOSTS = 11;
  private static final double MEAN_DEMAND = 0.4;
  private static final PoolUse PEAK = new PoolUse(2, 2, 0, 0);
  private static final ServerId SERVER = new ServerId("s1");
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int RENEWALS = 20;

  /**
   * Returns the connections that all hosts hold in the steady state; each holds at least what it
   * may open without a grant.
   */
  private static int steadyStateConnections(
      GrantOptions options, ConnectionTarget target, int withoutGrant) {
    GrantLedger ledger = new GrantLedger(options, -60 * SECOND_NANOS);
    List<Integer> held = new ArrayList<>();
    for (int host = 0; host < HOSTS; host++) {
      held.add(withoutGrant);
    }
    for (int renewal = 1; renewal <= RENEWALS; renewal++) {
      for (int host = 0; host < HOSTS; host++) {
        ProxyId proxy = new ProxyId(new HostId("h" + host), 1);
        int targetConnections = target.targetConnections(SERVER, PEAK);
        long now = renewal * SECOND_NANOS;
        int granted =
            ledger.renew(
                MAX_CONNECTIONS, true, proxy, renewal, held.get(host), targetConnections, 0, now);
        held.set(host, Math.max(withoutGrant, granted));
      }
    }
    return held.stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the connections refused when each host opens what it may open without a grant. */
  private static int refusedOnReconnect(int deadConnections, int withoutGrant) {
    return Math.max(0, deadConnections + HOSTS * withoutGrant - MAX_CONNECTIONS);
  }

  @Test
  void hostsReconnectWhileServerCountsDeadConnections() {
    int deadConnections =
        steadyStateConnections(
            GrantOptions.ADVISORY, new SmoothedConnectionTarget(server -> MEAN_DEMAND), 1);

    assertThat(refusedOnReconnect(deadConnections, 1)).isEqualTo(0);
  }

  @Test
  void hostsThatHoldAllConnectionsAreRefused() {
    int deadConnections =
        steadyStateConnections(GrantOptions.DEFAULT, new PeakConnectionTarget(server -> 0), 2);

    assertThat(refusedOnReconnect(deadConnections, 2)).isGreaterThan(HOSTS);
  }
}
