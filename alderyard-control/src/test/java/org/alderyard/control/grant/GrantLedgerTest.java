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

/** What is fair and what is safe to grant of a server's connections. */
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
  void sharesAreWithinTheBudgetTheDemandAndTheFloor(
      @ForAll("demands") Map<ProxyId, Integer> wanted,
      @ForAll @IntRange(min = 0, max = 40) int available) {
    SortedMap<ProxyId, Integer> shares =
        GrantAllocation.share(available, OPTIONS.floor(), new TreeMap<>(wanted));
    int given = shares.values().stream().mapToInt(Integer::intValue).sum();
    int asked = wanted.values().stream().mapToInt(Integer::intValue).sum();
    assertThat(given).isEqualTo(Math.min(available, asked));
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
  void restIsSharedByDemand() {
    SortedMap<ProxyId, Integer> shares =
        GrantAllocation.share(32, 2, new TreeMap<>(Map.of(proxy(1), 62, proxy(2), 32)));
    assertThat(shares).containsExactly(proxy(1), 21, proxy(2), 11);
  }

  private int renew(int number, long sequence, int held, int wanted, long now) {
    return ledger.renew(BUDGET, false, proxy(number), sequence, held, wanted, now);
  }

  /**
   * A proxy dies with 31 connections open. The server may still hold them, so nothing is granted to
   * the other proxies until the dead one's lease is over; then all of it.
   */
  @Test
  void deadProxysConnectionsAreNotGivenAwayBeforeItsLeaseEnds() {
    assertThat(renew(1, 1, 0, 100, AFTER_QUARANTINE)).isEqualTo(31);
    assertThat(renew(2, 1, 0, 20, AFTER_QUARANTINE + SECOND)).isEqualTo(0);
    assertThat(renew(2, 2, 0, 20, AFTER_QUARANTINE + 6 * SECOND)).isEqualTo(20);
  }

  /**
   * Grants move from a busy proxy to a new one: the busy one is told to shrink and still has all
   * its connections open. The new one gets them only when the busy one has said that they are
   * closed.
   */
  @Test
  void shrinkingGrantIsFreeOnlyOnceTheProxyHasClosed() {
    long now = AFTER_QUARANTINE;
    assertThat(renew(1, 1, 0, 31, now)).isEqualTo(31);
    assertThat(renew(2, 1, 0, 31, now)).isEqualTo(0);
    int shrunk = renew(1, 2, 31, 31, now + SECOND);
    assertThat(shrunk).isLessThan(31);
    assertThat(renew(2, 2, 0, 31, now + SECOND)).isEqualTo(0);
    assertThat(renew(1, 3, shrunk, 31, now + 2 * SECOND)).isAtMost(shrunk);
    assertThat(renew(2, 3, 0, 31, now + 2 * SECOND)).isEqualTo(31 - shrunk);
  }

  /**
   * The leader is replaced. The new one knows no grant, though proxies hold some; one that is cut
   * off may hold all the rest. Until the old leases are over it only confirms what proxies hold.
   */
  @Test
  void newLeaderGrantsNoMoreThanIsHeldUntilOldLeasesEnd() {
    assertThat(renew(1, 9, 4, 31, SECOND)).isEqualTo(4);
    assertThat(renew(2, 9, 0, 31, SECOND)).isEqualTo(0);
    long quarantine = OPTIONS.quarantine().toNanos();
    assertThat(renew(2, 10, 0, 31, quarantine + SECOND)).isEqualTo(31);
  }

  /**
   * A replica becomes the primary while all its connections are granted. The reserve is there at
   * once for the proxies whose writes turn to it.
   */
  @Test
  void reserveIsGrantedWhenTheReplicaBecomesPrimary() {
    long now = AFTER_QUARANTINE;
    assertThat(renew(1, 1, 0, 31, now)).isEqualTo(31);
    assertThat(ledger.renew(BUDGET, true, proxy(2), 1, 0, 31, now)).isEqualTo(4);
    assertThat(ledger.counted(now)).isEqualTo(BUDGET);
  }

  @Test
  void overtakenRequestChangesNothing() {
    long now = AFTER_QUARANTINE;
    assertThat(renew(1, 5, 0, 3, now)).isEqualTo(3);
    assertThat(renew(1, 4, 0, 30, now)).isEqualTo(0);
    assertThat(ledger.counted(now)).isEqualTo(3);
  }
}
