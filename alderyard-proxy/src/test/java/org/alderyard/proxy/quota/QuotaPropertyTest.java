package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.alderyard.common.view.OrganisationQuota;

/** The limit holds in every window over the whole fleet, whatever fails. */
class QuotaPropertyTest {
  private static final int STEP_MILLIS = 10;
  private static final int STEPS = 2_500;

  /**
   * Demand far beyond the limit while hosts are cut off, killed, restarted and removed. A host that
   * is cut off, or that has lost its counts, must not grant a second burst.
   */
  @Property(tries = 60, seed = "20261203")
  void limitHoldsInEveryWindow(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 4) int zones,
      @ForAll @IntRange(min = 2, max = 12) int hostsPerZone,
      @ForAll @IntRange(min = 0, max = 60) int rate,
      @ForAll @IntRange(min = 0, max = 60) int burst) {
    Random random = new Random(seed);
    OrganisationQuota quota = new OrganisationQuota(rate, burst);
    QuotaFleet fleet = new QuotaFleet(zones, hostsPerZone, quota);
    double stepDemand = (2 + random.nextInt(9)) * Math.max(1, rate) * STEP_MILLIS / 1_000.0;
    double due = 0;
    for (int step = 0; step < STEPS; step++) {
      fleet.advance(STEP_MILLIS);
      if (random.nextInt(60) == 0) {
        disturb(fleet, random);
      }
      for (due += stepDemand; due >= 1; due--) {
        QuotaFleet.Host host = fleet.hosts.get(random.nextInt(fleet.hosts.size()));
        if (host.running()) {
          host.begin();
        }
      }
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

  /** A restart of all hosts loses all counts at once. */
  @Property(tries = 20, seed = "20261203")
  void restartOfAllHostsGrantsNoSecondBurst(
      @ForAll @IntRange(min = 1, max = 200) int rate,
      @ForAll @IntRange(min = 1, max = 200) int burst,
      @ForAll @IntRange(min = 10, max = 3_000) int downMillis) {
    OrganisationQuota quota = new OrganisationQuota(rate, burst);
    QuotaFleet fleet = new QuotaFleet(3, 5, quota);
    spend(fleet, 500);
    fleet.hosts.forEach(QuotaFleet.Host::kill);
    fleet.advance(downMillis);
    fleet.hosts.forEach(QuotaFleet.Host::start);
    spend(fleet, 5_000);

    assertThat((double) fleet.worstWindow()).isAtMost(QuotaFleet.maxInWindow(quota));
  }

  /** Asks for far more than the limit on all hosts. */
  private static void spend(QuotaFleet fleet, int millis) {
    for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      fleet.advance(STEP_MILLIS);
      for (int i = 0; i < 8; i++) {
        fleet.hosts.get((elapsed + i) % fleet.hosts.size()).begin();
      }
    }
  }
}
