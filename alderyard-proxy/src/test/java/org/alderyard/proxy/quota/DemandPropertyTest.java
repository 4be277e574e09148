package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.alderyard.common.view.OrganisationQuota;

/** The limit holds in every window over the whole fleet, whatever fails, with shared limits. */
class DemandPropertyTest {
  private static final int STEP_MILLIS = 10;
  private static final int STEPS = 4_000;

  /** How long a host may act on the limit of an older view: a view lease. */
  private static final int OLD_LIMIT_MILLIS = 3_000;

  /**
   * Demand far beyond the limit while hosts are cut off, frozen, killed, restarted and removed, and
   * replies are late or lost. No host may grant what another one has granted.
   */
  @Property(tries = 120, seed = "20261206")
  void limitHoldsInEveryWindow(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 4) int zones,
      @ForAll @IntRange(min = 2, max = 12) int hostsPerZone,
      @ForAll @IntRange(min = 0, max = 60) int rate,
      @ForAll @IntRange(min = 0, max = 60) int burst) {
    Random random = new Random(seed);
    OrganisationQuota quota = new OrganisationQuota(rate, burst);
    QuotaFleet fleet = new QuotaFleet(zones, hostsPerZone, quota, QuotaCounters.DEMAND);
    run(fleet, random, (2 + random.nextInt(9)) * Math.max(1, rate), STEPS);

    assertThat((double) fleet.worstWindow()).isAtMost(QuotaFleet.maxInWindow(quota));
  }

  private static void run(QuotaFleet fleet, Random random, double perSecond, int steps) {
    double due = 0;
    for (int step = 0; step < steps; step++) {
      fleet.advance(STEP_MILLIS);
      if (random.nextInt(60) == 0) {
        disturb(fleet, random);
      }
      for (due += perSecond * STEP_MILLIS / 1_000.0; due >= 1; due--) {
        fleet.hosts.get(random.nextInt(fleet.hosts.size())).beginIfRunning();
      }
    }
  }

  private static void disturb(QuotaFleet fleet, Random random) {
    QuotaFleet.Host host = fleet.hosts.get(random.nextInt(fleet.hosts.size()));
    switch (random.nextInt(8)) {
      case 0 -> host.cut();
      case 1 -> host.join();
      case 2 -> host.kill();
      case 3 -> host.freeze();
      case 4 -> host.resume();
      case 5 ->
          fleet.replies = new LateReplies(random.nextInt(250), random.nextInt(4) / 10.0, random);
      default -> {
        if (!host.running()) {
          host.start();
        }
      }
    }
  }

  /** Guards against grants of two limits for one window while hosts learn of a change. */
  @Property(tries = 60, seed = "20261207")
  void changedLimitHoldsOnceHostsHaveStoppedByTheOldOne(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 4) int zones,
      @ForAll @IntRange(min = 2, max = 12) int hostsPerZone) {
    Random random = new Random(seed);
    OrganisationQuota before = new OrganisationQuota(random.nextInt(80), random.nextInt(80));
    OrganisationQuota after = new OrganisationQuota(random.nextInt(80), random.nextInt(80));
    QuotaFleet fleet = new QuotaFleet(zones, hostsPerZone, before, QuotaCounters.DEMAND);
    run(fleet, random, 400, STEPS / 4);
    fleet.configure(after);
    long changedMillis = fleet.nowMillis();
    run(fleet, random, 400, STEPS / 2);

    double larger = Math.max(QuotaFleet.maxInWindow(before), QuotaFleet.maxInWindow(after));
    assertThat((double) fleet.worstWindow()).isAtMost(larger);
    fleet.admittedMillis.removeIf(at -> at < changedMillis + OLD_LIMIT_MILLIS);
    assertThat((double) fleet.worstWindow()).isAtMost(QuotaFleet.maxInWindow(after));
  }

  /** A restart of all hosts, more than once in a window, loses all counts at once. */
  @Property(tries = 40, seed = "20261208")
  void repeatedRestartsOfAllHostsGrantNoSecondBurst(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 200) int rate,
      @ForAll @IntRange(min = 1, max = 200) int burst) {
    Random random = new Random(seed);
    OrganisationQuota quota = new OrganisationQuota(rate, burst);
    QuotaFleet fleet = new QuotaFleet(3, 5, quota, QuotaCounters.DEMAND);
    for (int round = 0; round < 8; round++) {
      run(fleet, new Random(seed), 800, 20 + random.nextInt(150));
      fleet.hosts.forEach(QuotaFleet.Host::kill);
      fleet.advance(10 + random.nextInt(3_000));
      fleet.hosts.forEach(QuotaFleet.Host::start);
    }

    assertThat((double) fleet.worstWindow()).isAtMost(QuotaFleet.maxInWindow(quota));
  }
}
