package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.OrganisationQuota;
import org.junit.jupiter.api.Test;

/**
 * Compares counters with an even split of each limit over all hosts, in simulated time.
 *
 * <p>Load: callers of an organisation with 10 operations per second are spread over the hosts by
 * chance, and send six tenths of its limit.
 */
class EvenSplitTest {
  private static final OrganisationQuota QUOTA = new OrganisationQuota(10, 10);
  private static final double DEMAND_PER_SECOND = 6;
  private static final int STEP_MILLIS = 10;
  private static final int DURATION_MILLIS = 60_000;
  private static final int ZONES = 3;
  private static final int HOSTS_PER_ZONE = 26;

  private final Random random = new Random(3);

  private double refusedShareOfEvenSplit() {
    int hosts = ZONES * HOSTS_PER_ZONE;
    List<TokenBucket> buckets = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      // Each host holds a token at most, as the bursts of all hosts together exceed the limit.
      buckets.add(new TokenBucket(QUOTA.ratePerSecond() / hosts, 1, 1, 0));
    }
    int asked = 0;
    int refused = 0;
    double due = 0;
    for (int now = 0; now < DURATION_MILLIS; now += STEP_MILLIS) {
      for (due += DEMAND_PER_SECOND * STEP_MILLIS / 1_000; due >= 1; due--) {
        asked++;
        TokenBucket bucket = buckets.get(random.nextInt(hosts));
        refused += 1 - bucket.take(1, TimeUnit.MILLISECONDS.toNanos(now));
      }
    }
    return (double) refused / asked;
  }

  private double refusedShareOfCounters() {
    QuotaFleet fleet = new QuotaFleet(ZONES, HOSTS_PER_ZONE, QUOTA);
    double due = 0;
    for (int elapsed = 0; elapsed < DURATION_MILLIS; elapsed += STEP_MILLIS) {
      fleet.advance(STEP_MILLIS);
      for (due += DEMAND_PER_SECOND * STEP_MILLIS / 1_000; due >= 1; due--) {
        fleet.hosts.get(random.nextInt(fleet.hosts.size())).begin();
      }
    }
    int refused = fleet.refusedOverLimit + fleet.refusedWithoutCounter;
    return (double) refused / (refused + fleet.admittedMillis.size());
  }

  @Test
  void evenSplitRefusesWhatCountersGrant() {
    double evenSplit = refusedShareOfEvenSplit();
    double counters = refusedShareOfCounters();

    assertThat(counters).isEqualTo(0.0);
    assertThat(evenSplit).isAtLeast(0.1);
  }
}
