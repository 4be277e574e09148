package org.alderyard.benchmarks.view;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.time.MonotonicClock;

/**
 * Measures the time until a ticket submitted right after a leader failure is in force on all
 * surviving hosts.
 */
final class LeaderLossBenchmark {
  private static final int PROXIES = 12;
  private static final int CONTROL_HOSTS = 3;
  private static final int ROUNDS = 10;

  private final MonotonicClock clock = MonotonicClock.system();

  void run(Path folder, PrintStream out) throws IOException, InterruptedException {
    List<Long> accepted = new ArrayList<>();
    List<Long> inForce = new ArrayList<>();
    try (BenchCluster cluster = new BenchCluster(folder, CONTROL_HOSTS)) {
      for (int number = 1; number <= PROXIES; number++) {
        cluster.start();
      }
      for (int round = 1; round <= ROUNDS; round++) {
        cluster.awaitHosts(PROXIES);
        int leader = cluster.leader();
        int survivor = PROXIES - 1;
        cluster.kill(leader);
        long startNanos = clock.nowNanos();
        cluster.submit(survivor, round);
        accepted.add(millis(startNanos));
        awaitSurvivors(cluster, survivor, round);
        inForce.add(millis(startNanos));
        cluster.restart(leader);
      }
    }
    out.printf("leader-loss: %d proxies as processes, %d rounds, ms%n", PROXIES, ROUNDS);
    out.println("  kill to accepted        " + accepted.stream().sorted().toList());
    out.println("  kill to in force on 11  " + inForce.stream().sorted().toList());
  }

  private static void awaitSurvivors(BenchCluster cluster, int survivor, int number)
      throws InterruptedException {
    while (true) {
      try {
        int hosts = cluster.get(survivor, "/v1/tickets/" + number).path("hostsInForce").asInt();
        if (hosts >= PROXIES - 1) {
          return;
        }
      } catch (IOException noLeaderYet) {
        // Retried below until a new leader responds.
      }
      Thread.sleep(1);
    }
  }

  private long millis(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - startNanos);
  }
}
