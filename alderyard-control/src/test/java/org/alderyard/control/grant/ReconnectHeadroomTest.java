package org.alderyard.control.grant;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.alderyard.common.id.HostId;
import org.junit.jupiter.api.Test;

/**
 * Guards against refused connections after all hosts lose power and restart together. Each server
 * still counts the earlier connections for some seconds. If the hosts held all connections that the
 * server accepts, it refused new ones meanwhile, and most reads and writes failed.
 */
class ReconnectHeadroomTest {
  private static final int ACCEPTED = 25;
  private static final int HOSTS = 11;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /**
   * The server refuses excess connections itself; each host holds one connection without a grant.
   */
  private static int heldWithGrant(int granted) {
    return Math.max(1, granted);
  }

  private static ProxyId proxy(int number, long incarnation) {
    return new ProxyId(new HostId("h" + number), incarnation);
  }

  /** Returns the connections that each host holds after four renewals with the given demand. */
  private static List<Integer> renewAll(
      GrantLedger ledger, int hosts, long incarnation, int wanted, long fromNanos) {
    List<Integer> held = new ArrayList<>();
    for (int number = 0; number < hosts; number++) {
      held.add(1);
    }
    for (int round = 1; round <= 4; round++) {
      for (int number = 0; number < hosts; number++) {
        int granted =
            ledger.renew(
                ACCEPTED,
                true,
                proxy(number, incarnation),
                round,
                held.get(number),
                wanted,
                0,
                fromNanos + round * SECOND);
        held.set(number, heldWithGrant(granted));
      }
    }
    return held;
  }

  private static int sum(List<Integer> held) {
    return held.stream().mapToInt(Integer::intValue).sum();
  }

  @Test
  void allHostsReconnectWhileServerStillCountsFailedConnections() {
    int failed = sum(renewAll(new GrantLedger(GrantOptions.ADVISORY, 0), HOSTS, 1, 1, 0));
    GrantLedger ledgerAfterRestart = new GrantLedger(GrantOptions.ADVISORY, 60 * SECOND);
    int reconnected = sum(renewAll(ledgerAfterRestart, HOSTS, 2, 1, 60 * SECOND));

    assertThat(failed + reconnected).isAtMost(ACCEPTED);
    assertThat(reconnected).isAtLeast(HOSTS);
  }

  @Test
  void newLeaderGrantsImmediatelyIfServersRefuseExcessConnections() {
    GrantLedger ledger = new GrantLedger(GrantOptions.ADVISORY, 0);

    assertThat(ledger.renew(ACCEPTED, true, proxy(1, 2), 1, 1, 4, 0, SECOND)).isEqualTo(4);
  }

  @Test
  void demandUsesHeadroomAndExcessIsReported() {
    GrantLedger ledger = new GrantLedger(GrantOptions.ADVISORY, 0);
    int held = sum(renewAll(ledger, HOSTS, 1, 2, 0));

    assertThat(held).isEqualTo(2 * HOSTS);
    assertThat(ledger.grantedBeyondHeadroom(ACCEPTED, 4 * SECOND))
        .isEqualTo(2 * HOSTS - ReconnectHeadroom.steadyStateLimit(ACCEPTED));
  }

  @Test
  void grantsStayWithinAcceptedConnections() {
    List<Integer> held = renewAll(new GrantLedger(GrantOptions.ADVISORY, 0), HOSTS, 1, 9, 0);

    assertThat(sum(held)).isAtMost(ACCEPTED);
  }

  /** Connections that only spare the opening of others must not use up the room for a return. */
  @Test
  void usefulConnectionsStayWithinSteadyStateLimit() {
    GrantLedger ledger = new GrantLedger(GrantOptions.ADVISORY, 0);
    int[] held = new int[6];
    for (int round = 1; round <= 3; round++) {
      for (int number = 0; number < held.length; number++) {
        held[number] =
            ledger.renew(
                ACCEPTED, false, proxy(number, 1), round, held[number], 1, 20, round * SECOND);
      }
    }
    int granted = IntStream.of(held).sum();

    assertThat(granted).isAtMost(ReconnectHeadroom.steadyStateLimit(ACCEPTED));
    assertThat(granted).isAtLeast(ReconnectHeadroom.steadyStateLimit(ACCEPTED) - 1);
  }

  @Test
  void usefulConnectionsGiveWayToDemand() {
    GrantLedger ledger = new GrantLedger(GrantOptions.ADVISORY, 0);
    int useful = ledger.renew(ACCEPTED, false, proxy(1, 1), 1, 0, 1, 50, SECOND);
    assertThat(useful).isEqualTo(ReconnectHeadroom.steadyStateLimit(ACCEPTED));

    ledger.renew(ACCEPTED, false, proxy(2, 1), 1, 0, 5, 0, SECOND);

    assertThat(ledger.renew(ACCEPTED, false, proxy(1, 1), 2, useful, 1, 50, 2 * SECOND))
        .isEqualTo(useful - 5);
  }

  @Test
  void steadyStateLimitLeavesSameCountPlusOne() {
    assertThat(ReconnectHeadroom.steadyStateLimit(25)).isEqualTo(12);
    assertThat(ReconnectHeadroom.steadyStateLimit(44)).isEqualTo(21);
    assertThat(ReconnectHeadroom.steadyStateLimit(1)).isEqualTo(0);
  }
}
