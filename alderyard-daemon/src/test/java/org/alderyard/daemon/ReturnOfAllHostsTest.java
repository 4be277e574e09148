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
 * Pattern: all hosts lose power and return a second later, before one server that accepts 25
 * connections and counts dead ones for three seconds. Hosts that had shared all 25 among them found
 * no room when they came back, and their callers were refused until the server had noticed.
 *
 * <p>Eleven hosts with work for 0.4 connections on average and for two in their peaks; grants and
 * targets are the real ones, the server is a counter.
 */
class ReturnOfAllHostsTest {
  private static final int ACCEPTED = 25;
  private static final int HOSTS = 11;
  private static final double MEAN_DEMAND = 0.4;
  private static final PoolUse PEAK = new PoolUse(2, 2, 0);
  private static final ServerId SERVER = new ServerId("s1");
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int CALM_RENEWALS = 20;

  /** What hosts hold after a while, each at least what it may have without a grant. */
  private static int heldInTheEnd(GrantOptions options, ConnectionTarget target, int withoutGrant) {
    GrantLedger ledger = new GrantLedger(options, -60 * SECOND);
    List<Integer> held = new ArrayList<>();
    for (int host = 0; host < HOSTS; host++) {
      held.add(withoutGrant);
    }
    for (int renewal = 1; renewal <= CALM_RENEWALS; renewal++) {
      for (int host = 0; host < HOSTS; host++) {
        ProxyId proxy = new ProxyId(new HostId("h" + host), 1);
        int targetConnections = target.targetConnections(SERVER, PEAK);
        long now = renewal * SECOND;
        int granted =
            ledger.renew(ACCEPTED, true, proxy, renewal, held.get(host), targetConnections, now);
        held.set(host, Math.max(withoutGrant, granted));
      }
    }
    return held.stream().mapToInt(Integer::intValue).sum();
  }

  /** Connections that are refused when each host opens what it may have without a grant. */
  private static int refusedOnReturn(int dead, int withoutGrant) {
    return Math.max(0, dead + HOSTS * withoutGrant - ACCEPTED);
  }

  @Test
  void allHostsFindRoomWhileTheServerCountsTheDeadConnections() {
    int dead =
        heldInTheEnd(GrantOptions.ADVISORY, new SmoothedConnectionTarget(server -> MEAN_DEMAND), 1);

    assertThat(refusedOnReturn(dead, 1)).isEqualTo(0);
  }

  @Test
  void hostsThatShareAllConnectionsByTheirPeaksFindNone() {
    int dead = heldInTheEnd(GrantOptions.DEFAULT, new PeakConnectionTarget(server -> 0), 2);

    assertThat(refusedOnReturn(dead, 2)).isGreaterThan(HOSTS);
  }
}
