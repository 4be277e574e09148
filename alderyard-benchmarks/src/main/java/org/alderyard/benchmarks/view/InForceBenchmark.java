package org.alderyard.benchmarks.view;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.alderyard.common.time.MonotonicClock;

/**
 * Measures the time from submission of a ticket until the leader reports it in force on 12 proxies.
 */
final class InForceBenchmark {
  private static final int PROXIES = 12;
  private static final int CONTROL_HOSTS = 3;
  private static final int WARM_UP = 50;
  private static final int TICKETS = 500;
  private static final int TICKET_INTERVAL_MILLIS = 20;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private final MonotonicClock clock = MonotonicClock.system();

  void run(Path folder, PrintStream out) throws IOException, InterruptedException {
    Histogram accepted = new Histogram(3);
    Histogram inForce = new Histogram(3);
    try (BenchCluster cluster = new BenchCluster(folder, CONTROL_HOSTS)) {
      for (int number = 1; number <= PROXIES; number++) {
        cluster.start();
      }
      cluster.awaitHosts(PROXIES);
      for (int number = 1; number <= WARM_UP + TICKETS; number++) {
        boolean measured = number > WARM_UP;
        submit(
            cluster,
            number,
            measured ? accepted : new Histogram(3),
            measured ? inForce : new Histogram(3));
        Thread.sleep(TICKET_INTERVAL_MILLIS);
      }
    }
    out.printf(
        "in-force: %d proxies as processes, %d of them control hosts, %d tickets%n",
        PROXIES, CONTROL_HOSTS, TICKETS);
    print(out, "submit to accepted", accepted);
    print(out, "submit to in force on all", inForce);
  }

  private void submit(BenchCluster cluster, int number, Histogram accepted, Histogram inForce)
      throws IOException, InterruptedException {
    long startNanos = clock.nowNanos();
    cluster.submit(number % PROXIES, number);
    accepted.recordValue(micros(startNanos));
    while (cluster.get(0, "/v1/tickets/" + number).path("hostsInForce").asInt() < PROXIES) {
      Thread.sleep(1);
    }
    inForce.recordValue(micros(startNanos));
  }

  private long micros(long startNanos) {
    return TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startNanos);
  }

  private static void print(PrintStream out, String name, Histogram micros) {
    out.printf(
        "  %-26s p50 %.1f ms  p99 %.1f ms  max %.1f ms%n",
        name,
        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        micros.getMaxValue() / MICROS_PER_MILLI);
  }
}
