package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.alderyard.common.view.OrganisationQuota;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Operations that are refused below and above a limit, whose counters follow demand. */
class DemandCountersTest {
  private static final int STEP_MILLIS = 10;
  private static final int ZONES = 3;
  private static final int HOSTS_PER_ZONE = 21;

  /** The statements of an organisation meet at few hosts, at most one of a group and zone. */
  private static final int MEETING_HOSTS = 9;

  private final Random random = new Random(7);

  private static QuotaFleet fleet(int rate, int burst) {
    return new QuotaFleet(
        ZONES, HOSTS_PER_ZONE, new OrganisationQuota(rate, burst), QuotaCounters.DEMAND);
  }

  /** Sends operations at random times to the hosts at which an organisation meets. */
  private void send(QuotaFleet fleet, double perSecond, int hosts, int millis) {
    for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      fleet.advance(STEP_MILLIS);
      double due = perSecond * STEP_MILLIS / 1_000;
      for (; due >= 1 || random.nextDouble() < due; due--) {
        QuotaFleet.Host host = fleet.hosts.get(random.nextInt(hosts) * 8 % fleet.hosts.size());
        if (host.connected()) {
          host.begin();
        }
      }
    }
  }

  private static int refused(QuotaFleet fleet) {
    return fleet.refusedOverLimit + fleet.refusedWithoutCounter;
  }

  /** Load: steady demand at nine tenths of the rate, with the bunching of independent callers. */
  @ParameterizedTest
  @CsvSource({"5, 5", "8, 8", "278, 278"})
  void steadyDemandBelowLimitIsNotRefused(int rate, int burst) {
    QuotaFleet fleet = fleet(rate, burst);

    send(fleet, 0.9 * rate, MEETING_HOSTS, 120_000);

    assertWithMessage("refused").that(refused(fleet)).isEqualTo(0);
  }

  /** Load: a whole burst at once, each time after the tokens for it have accrued. */
  @ParameterizedTest
  @CsvSource({"5, 5, 3", "8, 8, 3", "278, 278, 3", "278, 278, 1"})
  void burstBelowLimitIsNotRefused(int rate, int burst, int zones) {
    QuotaFleet fleet = fleet(rate, burst);
    for (int round = 0; round < 30; round++) {
      for (int i = 0; i < burst; i++) {
        fleet.hosts.get(i % (zones * HOSTS_PER_ZONE)).begin();
      }
      for (int elapsed = 0; elapsed < 1_000; elapsed += STEP_MILLIS) {
        fleet.advance(STEP_MILLIS);
      }
    }

    assertWithMessage("refused").that(refused(fleet)).isEqualTo(0);
  }

  /** Guards against the loss of a share while its counter is down and not yet replaced. */
  @ParameterizedTest
  @CsvSource({"5, 5", "8, 8", "278, 278"})
  void lossOfOneCounterRefusesNothingBelowLimit(int rate, int burst) {
    QuotaFleet fleet = fleet(rate, burst);
    send(fleet, 0.9 * rate, MEETING_HOSTS, 5_000);

    fleet.byName().get(fleet.counters().iterator().next()).kill();
    send(fleet, 0.9 * rate, MEETING_HOSTS, 20_000);

    assertWithMessage("refused").that(refused(fleet)).isEqualTo(0);
  }

  /** Load: an organisation that sends five times its limit. */
  @ParameterizedTest
  @CsvSource({"5, 5", "8, 8", "278, 278"})
  void overLimitStillGetsLimitAndNoMore(int rate, int burst) {
    QuotaFleet fleet = fleet(rate, burst);
    int seconds = 30;

    send(fleet, 5.0 * rate, MEETING_HOSTS, seconds * 1_000);

    assertWithMessage("admitted")
        .that((double) fleet.admittedMillis.size())
        .isAtLeast(0.97 * rate * seconds);
    assertWithMessage("worst window")
        .that((double) fleet.worstWindow())
        .isAtMost(QuotaFleet.maxInWindow(fleet.quota()));
  }

  /** Guards against callers of one refusal that come back together, or before a token is there. */
  @Test
  void refusedCallersComeBackAtDifferentTimesAfterNextToken() {
    TokenRetrySpread spread = new TokenRetrySpread();
    int[] perTenth = new int[10];
    for (int i = 0; i < 1_000; i++) {
      int millis = spread.next(200, 5, 1_000_000L * i);
      assertWithMessage("millis").that(millis).isAtLeast(200);
      if (i >= 500) {
        perTenth[(millis - 200) / 100]++;
      }
    }

    for (int returning : perTenth) {
      assertWithMessage("callers in a tenth of the spread").that(returning).isAtMost(60);
    }
  }
}
