package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.alderyard.common.view.OrganisationQuota;
import org.junit.jupiter.api.Test;

class QuotaServiceTest {
  private static final int STEP_MILLIS = 10;
  private final Random random = new Random(5);

  /** Runs demand at a rate on random hosts. */
  private void run(QuotaFleet fleet, double perSecond, int millis) {
    double due = 0;
    for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      fleet.advance(STEP_MILLIS);
      for (due += perSecond * STEP_MILLIS / 1_000; due >= 1; due--) {
        QuotaFleet.Host host = fleet.hosts.get(random.nextInt(fleet.hosts.size()));
        if (host.connected()) {
          host.begin();
        }
      }
    }
  }

  private static int refused(QuotaFleet fleet) {
    return fleet.refusedOverLimit + fleet.refusedWithoutCounter;
  }

  @Test
  void nothingBelowLimitIsRefused() {
    for (int rate : new int[] {1, 5, 50, 300}) {
      QuotaFleet fleet = new QuotaFleet(3, 26, new OrganisationQuota(rate, rate));

      run(fleet, rate * 0.9, 30_000);

      assertThat(refused(fleet)).isEqualTo(0);
    }
  }

  @Test
  void operationsBeyondLimitAreRefusedWithTimeToComeBack() {
    QuotaFleet fleet = new QuotaFleet(3, 4, new OrganisationQuota(20, 20));

    run(fleet, 200, 10_000);

    assertThat(fleet.refusedOverLimit).isGreaterThan(0);
    assertThat(fleet.admittedMillis.size()).isAtLeast(200);
    assertThat((double) fleet.worstWindow())
        .isAtMost(QuotaFleet.maxInWindow(new OrganisationQuota(20, 20)));
  }

  /** While one counter is down, the others must grant what is asked below their parts. */
  @Test
  void lossOfOneCounterRefusesNothingAtUsualDemand() {
    QuotaFleet fleet = new QuotaFleet(3, 8, new OrganisationQuota(80, 80));
    run(fleet, 50, 5_000);

    fleet.byName().get(fleet.counters().iterator().next()).kill();
    run(fleet, 50, 20_000);

    assertThat(refused(fleet)).isEqualTo(0);
  }

  /** After a restart of all hosts, callers must not wait until new tokens have accrued. */
  @Test
  void restartOfAllHostsRefusesNothingAtUsualDemand() {
    QuotaFleet fleet = new QuotaFleet(3, 8, new OrganisationQuota(40, 40));
    run(fleet, 25, 5_000);
    fleet.hosts.forEach(QuotaFleet.Host::kill);
    fleet.advance(1_000);
    fleet.hosts.forEach(QuotaFleet.Host::start);

    run(fleet, 25, 5_000);

    assertThat(refused(fleet)).isEqualTo(0);
  }

  /** A host that is cut off must not spend what the others may be granted. */
  @Test
  void hostCutOffRefusesWhatItCannotCount() {
    QuotaFleet fleet = new QuotaFleet(3, 8, new OrganisationQuota(40, 40));
    QuotaFleet.Host host =
        fleet.hosts.stream()
            .filter(candidate -> !fleet.counters().contains(candidate.name))
            .findFirst()
            .orElseThrow();
    // Shortly after its start, a host may begin an operation before it asks.
    run(fleet, 0, 6_000);
    host.cut();
    host.begin();

    assertThat(fleet.refusedWithoutCounter).isEqualTo(1);
    assertThat(fleet.admittedMillis).isEmpty();
  }

  /** A lowered limit must bind as soon as the counters know it. */
  @Test
  void loweredLimitBindsAtOnce() {
    QuotaFleet fleet = new QuotaFleet(3, 8, new OrganisationQuota(200, 200));
    run(fleet, 150, 10_000);
    OrganisationQuota lowered = new OrganisationQuota(10, 10);
    fleet.configure(lowered);
    fleet.advance(QuotaFleet.TOLERANCE.windowSeconds() > 0 ? 400 : 0);
    fleet.admittedMillis.clear();

    run(fleet, 150, 10_000);

    assertThat((double) fleet.worstWindow()).isAtMost(QuotaFleet.maxInWindow(lowered));
  }

  /** Most operations of a large organisation must not cost a request of their own. */
  @Test
  void busyHostRequestsSeveralOperationsAtOnce() {
    QuotaFleet fleet = new QuotaFleet(1, 3, new OrganisationQuota(3_000, 3_000));
    fleet.requests = 0;

    run(fleet, 1_500, 5_000);

    assertThat(fleet.requests).isLessThan(fleet.admittedMillis.size() / 20);
  }
}
