package org.alderyard.proxy.ledger;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;

/** Tests that no schedule of resends, view changes and isolated proxies runs a request twice. */
class LedgerPropertyTest {
  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final LedgerLimits LIMITS =
      new LedgerLimits(Duration.ofSeconds(60), Duration.ofMillis(500), LEASE, 40, 10_000);
  private static final String[][] PROXY_SETS = {
    {"p1", "p2", "p3"}, {"p1", "p2"}, {"p2", "p3"}, {"p1", "p3"}, {"p1", "p2", "p3"}
  };
  private static final List<String> PROXIES = List.of("p1", "p2", "p3");
  private static final int STEPS = 1_500;
  private static final int ACTIVE_IDS = 8;
  private static final int TRIES = 200;

  private int requestsThatRan;

  /** Rules out that the property holds only because the ledger admits nothing. */
  @AfterProperty
  void schedulesRanRequests() {
    assertWithMessage("requests that ran").that(requestsThatRan).isAtLeast(TRIES);
  }

  /**
   * Resends eight active requests through three proxies while views change. A proxy may use a
   * replaced view for one lease after its last contact; a proxy that was isolated for longer
   * resumes with the newest view.
   */
  @Property(tries = TRIES, seed = "20261202")
  void noRequestRunsTwice(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    try (TestProxies cluster = new TestProxies(LIMITS, "p1", "p2", "p3")) {
      cluster.publishToAll(PROXY_SETS[0]);
      Schedule schedule = new Schedule(cluster, random);
      for (int step = 0; step < STEPS; step++) {
        schedule.step();
      }
      cluster.runCounts.forEach(
          (id, count) -> assertWithMessage("runs of %s", id).that(count).isAtMost(1));
      requestsThatRan += cluster.runCounts.size();
    }
  }

  /** The state of one random schedule. */
  private static final class Schedule {
    private final TestProxies cluster;
    private final SplittableRandom random;
    private final Map<String, Long> firstSentMillis = new HashMap<>();
    private final Map<String, Long> lastContactMillis = new HashMap<>();
    private final List<String> requestIds = new ArrayList<>();
    private int nextNumber;
    private String isolatedProxy = "";

    Schedule(TestProxies cluster, SplittableRandom random) {
      this.cluster = cluster;
      this.random = random;
      PROXIES.forEach(proxy -> lastContactMillis.put(proxy, cluster.nowMillis));
    }

    void step() {
      int roll = random.nextInt(200);
      if (roll == 0) {
        cluster.publish(PROXY_SETS[random.nextInt(PROXY_SETS.length)]);
      } else if (roll == 1) {
        isolatedProxy = PROXIES.get(random.nextInt(PROXIES.size()));
      } else if (roll < 20) {
        cluster.advance(Duration.ofMillis(random.nextInt(1, 1_500)));
      } else if (roll < 60) {
        fetchView(PROXIES.get(random.nextInt(PROXIES.size())));
      } else {
        send();
      }
      PROXIES.forEach(
          proxy -> cluster.proxy(proxy).leaseValid = cluster.nowMillis < leaseEnd(proxy));
    }

    private long leaseEnd(String proxy) {
      return lastContactMillis.get(proxy) + LEASE.toMillis();
    }

    /** Lets a proxy fetch the newest view, which renews its lease. */
    private void fetchView(String proxy) {
      if (proxy.equals(isolatedProxy)) {
        return;
      }
      if (cluster.nowMillis >= leaseEnd(proxy)) {
        cluster.proxy(proxy).ledger.onViewLeaseRegained();
      }
      cluster.proxy(proxy).views.updateIfNewer(cluster.latestView);
      lastContactMillis.put(proxy, cluster.nowMillis);
    }

    private void send() {
      if (requestIds.size() < ACTIVE_IDS || random.nextInt(20) == 0) {
        requestIds.add("order-" + nextNumber++);
      }
      String id =
          requestIds.get(
              random.nextInt(Math.max(0, requestIds.size() - ACTIVE_IDS), requestIds.size()));
      firstSentMillis.putIfAbsent(id, cluster.nowMillis + random.nextInt(-400, 400));
      String proxy = PROXIES.get(random.nextInt(PROXIES.size()));
      try {
        cluster
            .proxy(proxy)
            .ledger
            .admit(cluster.order(id, firstSentMillis.get(id), "a"), firstSentMillis.get(id));
      } catch (org.alderyard.common.error.AlderyardException rejection) {
        // A rejected request does not run; the check at the end counts the runs.
      }
    }
  }
}
