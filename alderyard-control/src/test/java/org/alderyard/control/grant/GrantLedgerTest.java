package org.alderyard.control.grant;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.alderyard.common.id.HostId;
import org.junit.jupiter.api.Test;

/** Tests that connections are divided fairly and that grants stay within the server's limit. */
class GrantLedgerTest {
  private static final GrantOptions OPTIONS = GrantOptions.DEFAULT;
  private static final int BUDGET = 35;
  private static final long AFTER_QUARANTINE = TimeUnit.SECONDS.toNanos(60);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final GrantLedger ledger = new GrantLedger(OPTIONS, 0);

  private static ProxyId proxy(int number) {
    return new ProxyId(new HostId("h" + number), 1);
  }

  @Provide
  Arbitrary<Map<ProxyId, Integer>> demands() {
    return Arbitraries.maps(
            Arbitraries.integers().between(1, 60).map(GrantLedgerTest::proxy),
            Arbitraries.integers().between(0, 100))
        .ofMaxSize(60);
  }

  @Property(seed = "20261202", tries = 500)
  void sharesRespectBudgetDemandAndFloor(
      @ForAll("demands") Map<ProxyId, Integer> wanted,
      @ForAll @IntRange(min = 0, max = 40) int available) {
    SortedMap<ProxyId, Integer> shares =
        GrantAllocation.allocate(available, OPTIONS.floor(), new TreeMap<>(wanted));
    int allocated = shares.values().stream().mapToInt(Integer::intValue).sum();
    int totalWanted = wanted.values().stream().mapToInt(Integer::intValue).sum();
    assertThat(allocated).isEqualTo(Math.min(available, totalWanted));
    boolean floorsFit = wanted.size() * OPTIONS.floor() <= available;
    shares.forEach(
        (proxy, share) -> {
          assertThat(share).isAtMost(wanted.get(proxy));
          if (floorsFit) {
            assertThat(share).isAtLeast(Math.min(OPTIONS.floor(), wanted.get(proxy)));
          }
        });
  }

  @Test
  void connectionsAboveFloorAreDividedByDemand() {
    SortedMap<ProxyId, Integer> shares =
        GrantAllocation.allocate(32, 2, new TreeMap<>(Map.of(proxy(1), 62, proxy(2), 32)));
    assertThat(shares).containsExactly(proxy(1), 21, proxy(2), 11);
  }

  private int renew(int number, long sequence, int held, int wanted, long now) {
    return ledger.renew(BUDGET, false, proxy(number), sequence, held, wanted, 0, now);
  }

  /**
   * Guards against too many connections when a proxy fails with 31 connections open. The server may
   * still hold them, so other proxies get none until the lease of the failed proxy expires.
   */
  @Test
  void failedProxysConnectionsAreNotGrantedBeforeLeaseExpires() {
    assertThat(renew(1, 1, 0, 100, AFTER_QUARANTINE)).isEqualTo(31);
    assertThat(renew(2, 1, 0, 20, AFTER_QUARANTINE + SECOND)).isEqualTo(0);
    assertThat(renew(2, 2, 0, 20, AFTER_QUARANTINE + 6 * SECOND)).isEqualTo(20);
  }

  /**
   * Guards against granting the same connections twice when the grant of a busy proxy is reduced in
   * favor of a new proxy. The busy proxy still has the connections open, so the new proxy gets them
   * only after the busy proxy reports that they are closed.
   */
  @Test
  void reducedGrantIsReusedOnlyAfterProxyClosesConnections() {
    long now = AFTER_QUARANTINE;
    assertThat(renew(1, 1, 0, 31, now)).isEqualTo(31);
    assertThat(renew(2, 1, 0, 31, now)).isEqualTo(0);
    int reduced = renew(1, 2, 31, 31, now + SECOND);
    assertThat(reduced).isLessThan(31);
    assertThat(renew(2, 2, 0, 31, now + SECOND)).isEqualTo(0);
    assertThat(renew(1, 3, reduced, 31, now + 2 * SECOND)).isAtMost(reduced);
    assertThat(renew(2, 3, 0, 31, now + 2 * SECOND)).isEqualTo(31 - reduced);
  }

  /**
   * Guards against too many connections after a change of leader. The new leader has no record of
   * earlier grants, and a partitioned proxy may hold all remaining connections. Until the earlier
   * leases expire, the leader only confirms connections that proxies hold.
   */
  @Test
  void newLeaderGrantsOnlyHeldConnectionsDuringQuarantine() {
    assertThat(renew(1, 9, 4, 31, SECOND)).isEqualTo(4);
    assertThat(renew(2, 9, 0, 31, SECOND)).isEqualTo(0);
    long quarantine = OPTIONS.quarantine().toNanos();
    assertThat(renew(2, 10, 0, 31, quarantine + SECOND)).isEqualTo(31);
  }

  /**
   * Tests that the reserve is available immediately when a replica becomes the primary while all
   * other connections are granted, for proxies that start sending writes to that server.
   */
  @Test
  void reserveIsGrantedWhenTheReplicaBecomesPrimary() {
    long now = AFTER_QUARANTINE;
    assertThat(renew(1, 1, 0, 31, now)).isEqualTo(31);
    assertThat(ledger.renew(BUDGET, true, proxy(2), 1, 0, 31, 0, now)).isEqualTo(4);
    assertThat(ledger.maxInUse(now)).isEqualTo(BUDGET);
  }

  @Test
  void staleRequestIsIgnored() {
    long now = AFTER_QUARANTINE;
    assertThat(renew(1, 5, 0, 3, now)).isEqualTo(3);
    assertThat(renew(1, 4, 0, 30, now)).isEqualTo(0);
    assertThat(ledger.maxInUse(now)).isEqualTo(3);
  }
}
