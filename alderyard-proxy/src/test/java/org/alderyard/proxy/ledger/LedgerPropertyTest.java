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

/** No schedule of resends, view changes, cut-offs and returns runs a request twice. */
class LedgerPropertyTest {
  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final LedgerLimits LIMITS =
      new LedgerLimits(Duration.ofSeconds(60), Duration.ofMillis(500), LEASE, 40, 10_000);
  private static final String[][] MEMBERS = {
    {"p1", "p2", "p3"}, {"p1", "p2"}, {"p2", "p3"}, {"p1", "p3"}, {"p1", "p2", "p3"}
  };
  private static final List<String> PROXIES = List.of("p1", "p2", "p3");
  private static final int STEPS = 1_500;
  private static final int IDS = 8;
  private static final int TRIES = 200;

  private int requestsThatRan;

  /** A ledger that admits nothing would keep the property too. */
  @AfterProperty
  void schedulesRanRequests() {
    assertWithMessage("requests that ran").that(requestsThatRan).isAtLeast(TRIES);
  }

  /**
   * Eight orders are sent again and again through three proxies, while views come and go. A proxy
   * may act on a replaced view for one lease, as long as it last heard of it in time; a proxy that
   * was cut off for longer comes back by the newest view.
   */
  @Property(tries = TRIES, seed = "20261202")
  void noRequestRunsTwice(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    try (TestProxies cluster = new TestProxies(LIMITS, "p1", "p2", "p3")) {
      cluster.publishToAll(MEMBERS[0]);
      Schedule schedule = new Schedule(cluster, random);
      for (int step = 0; step < STEPS; step++) {
        schedule.step();
      }
      cluster.runs.forEach(
          (id, runs) -> assertWithMessage("runs of %s", id).that(runs).isAtMost(1));
      requestsThatRan += cluster.runs.size();
    }
  }

  /** The state of one random schedule. */
  private static final class Schedule {
    private final TestProxies cluster;
    private final SplittableRandom random;
    private final Map<String, Long> firstSent = new HashMap<>();
    private final Map<String, Long> lastHeard = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private int generation;
    private String cutOff = "";

    Schedule(TestProxies cluster, SplittableRandom random) {
      this.cluster = cluster;
      this.random = random;
      PROXIES.forEach(proxy -> lastHeard.put(proxy, cluster.nowMillis));
    }

    void step() {
      int dice = random.nextInt(200);
      if (dice == 0) {
        cluster.publish(MEMBERS[random.nextInt(MEMBERS.length)]);
      } else if (dice == 1) {
        cutOff = PROXIES.get(random.nextInt(PROXIES.size()));
      } else if (dice < 20) {
        cluster.advance(Duration.ofMillis(random.nextInt(1, 1_500)));
      } else if (dice < 60) {
        hear(PROXIES.get(random.nextInt(PROXIES.size())));
      } else {
        send();
      }
      PROXIES.forEach(
          proxy -> cluster.proxy(proxy).leaseValid = cluster.nowMillis < leaseEnd(proxy));
    }

    private long leaseEnd(String proxy) {
      return lastHeard.get(proxy) + LEASE.toMillis();
    }

    /** A proxy fetches the newest view, which renews its lease. */
    private void hear(String proxy) {
      if (proxy.equals(cutOff)) {
        return;
      }
      if (cluster.nowMillis >= leaseEnd(proxy)) {
        cluster.proxy(proxy).ledger.viewLeaseLapsed();
      }
      cluster.proxy(proxy).views.offer(cluster.latest);
      lastHeard.put(proxy, cluster.nowMillis);
    }

    private void send() {
      if (names.size() < IDS || random.nextInt(20) == 0) {
        names.add("order-" + generation++);
      }
      String id = names.get(random.nextInt(Math.max(0, names.size() - IDS), names.size()));
      firstSent.putIfAbsent(id, cluster.nowMillis + random.nextInt(-400, 400));
      String proxy = PROXIES.get(random.nextInt(PROXIES.size()));
      try {
        cluster
            .proxy(proxy)
            .ledger
            .admit(cluster.order(id, firstSent.get(id), "a"), firstSent.get(id));
      } catch (org.alderyard.common.error.AlderyardException refused) {
        // A refusal runs nothing; the check at the end counts the runs.
      }
    }
  }
}
