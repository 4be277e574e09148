package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.alderyard.common.view.OrganisationQuota;
import org.junit.jupiter.api.Test;

/** Tests operations that wait for the next token of their organisation. */
class TokenReservationTest {
  private static final OrganisationQuota QUOTA = new OrganisationQuota(8, 8);
  private static final int STEP_MILLIS = 5;
  private static final int ZONES = 3;
  private static final int HOSTS_PER_ZONE = 8;
  private static final int MAX_WAIT_MILLIS = 125;

  private static QuotaFleet fleet() {
    return new QuotaFleet(ZONES, HOSTS_PER_ZONE, QUOTA);
  }

  /** Sends operations at random times, with a constant mean rate, to random hosts. */
  private static void send(
      QuotaFleet fleet, Random random, double perSecond, int millis, int maxWaitMillis) {
    for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      fleet.advance(STEP_MILLIS);
      if (random.nextDouble() < perSecond * STEP_MILLIS / 1_000) {
        QuotaFleet.Host host = fleet.hosts.get(random.nextInt(fleet.hosts.size()));
        if (host.running()) {
          host.begin(maxWaitMillis);
        }
      }
    }
    fleet.advance(1_000);
  }

  private static double refusedShare(QuotaFleet fleet) {
    int refused = fleet.refusedOverLimit + fleet.refusedWithoutCounter;
    return (double) refused / (refused + fleet.admittedMillis.size());
  }

  /** Guards against refusals below the limit, as the tokens lie in parts at several counters. */
  @Test
  void operationsBelowLimitWaitForTokenRatherThanBeingRefused() {
    QuotaFleet fleet = fleet();
    send(fleet, new Random(1), 6, 300_000, MAX_WAIT_MILLIS);
    assertThat(refusedShare(fleet)).isAtMost(0.015);
  }

  /** Guards against operations that overtake those that have reserved a token. */
  @Test
  void reservedTokenIsNotGrantedToLaterOperation() {
    QuotaLedger ledger =
        new QuotaLedger(QuotaFleet.TOLERANCE, new ZoneShares(QuotaFleet.TOLERANCE));
    int granted = take(ledger, 100, 0);
    assertThat(take(ledger, 1, 0)).isEqualTo(0);
    assertThat(ledger.reserve("a", 125, 0)).isPresent();
    assertThat(take(ledger, 1, 125)).isEqualTo(0);
    assertThat(take(ledger, 1, 250)).isEqualTo(1);
    assertThat(granted).isGreaterThan(0);
  }

  private static int take(QuotaLedger ledger, int wanted, long nowMillis) {
    return ledger
        .take("a", QUOTA, 1, HOSTS_PER_ZONE, wanted, 0, 0, TimeUnit.MILLISECONDS.toNanos(nowMillis))
        .operations();
  }

  /** Guards against a queue of operations that grows while an organisation is over its limit. */
  @Test
  void operationWithoutTokenInTimeIsRefusedAtOnce() {
    QuotaFleet fleet = fleet();
    exhaust(fleet);
    for (int i = 0; i < 100; i++) {
      fleet.hosts.get(i % fleet.hosts.size()).begin(MAX_WAIT_MILLIS);
    }
    int refusedAtOnce = fleet.refusedOverLimit;
    fleet.advance(1_000);
    assertThat(refusedAtOnce).isAtLeast(95);
    assertThat(fleet.refusedOverLimit).isEqualTo(refusedAtOnce);
  }

  private static void exhaust(QuotaFleet fleet) {
    while (fleet.refusedOverLimit == 0) {
      for (QuotaFleet.Host host : fleet.hosts) {
        host.begin();
      }
    }
    fleet.refusedOverLimit = 0;
  }

  /** Guards against reservations that a successor or a change of the limit does not count. */
  @Property(tries = 60, seed = "20261204")
  void limitHoldsInEveryWindowWhenOperationsWait(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 4) int zones,
      @ForAll @IntRange(min = 2, max = 12) int hostsPerZone,
      @ForAll @IntRange(min = 0, max = 60) int rate,
      @ForAll @IntRange(min = 0, max = 60) int burst) {
    Random random = new Random(seed);
    OrganisationQuota quota = new OrganisationQuota(rate, burst);
    QuotaFleet fleet = new QuotaFleet(zones, hostsPerZone, quota);
    double perSecond = Math.min(190, (2 + random.nextInt(4)) * Math.max(1, rate));
    for (int round = 0; round < 25; round++) {
      send(fleet, random, perSecond, 600, QuotaLedger.MAX_RESERVE_MILLIS);
      disturb(fleet, random);
    }

    assertThat((double) fleet.worstWindow()).isAtMost(QuotaFleet.maxInWindow(quota));
  }

  private static void disturb(QuotaFleet fleet, Random random) {
    QuotaFleet.Host host = fleet.hosts.get(random.nextInt(fleet.hosts.size()));
    switch (random.nextInt(4)) {
      case 0 -> host.cut();
      case 1 -> host.join();
      case 2 -> host.kill();
      default -> {
        if (!host.running()) {
          host.start();
        }
      }
    }
  }
}
