package org.alderyard.benchmarks.capacity;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.alderyard.cli.load.LoadPlan;
import org.alderyard.cli.load.LoadReport;
import org.alderyard.cli.load.LoadRun;
import org.alderyard.cli.load.WorkloadMix;
import org.alderyard.common.time.MonotonicClock;

/**
 * Measures the processor time that a running proxy uses per statement.
 *
 * <p>Arguments: process id of the proxy, its caller address and a pool. The workload is the {@code
 * BRAZOS} mix; the first run is a warm-up.
 */
public final class StatementCost {
  private static final int[] RATES = {2_000, 0, 250, 500, 1_000, 2_000, 4_000};
  private static final int SECONDS = 8;
  private static final int KEYS = 2_000;

  private StatementCost() {}

  /** Prints one line per rate and the linear fit, both without the warm-up. */
  public static void main(String[] args) throws IOException {
    if (args.length != 3) {
      System.err.println("usage: StatementCost PID IP:PORT POOL");
      System.exit(2);
    }
    String[] address = args[1].split(":");
    InetSocketAddress proxy = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
    double[] x = new double[RATES.length - 1];
    double[] y = new double[RATES.length - 1];
    System.out.println("statements/s | processor ms/s | read p50 us | read p99 us | violations");
    for (int i = 0; i < RATES.length; i++) {
      long before = ProcessTime.millis(args[0]);
      long startNanos = MonotonicClock.system().nowNanos();
      String line = "";
      double statements = 0;
      if (RATES[i] == 0) {
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(SECONDS));
      } else {
        LoadReport report = load(proxy, args[2], RATES[i], i);
        statements = report.operations().size();
        line =
            String.format(
                "%d | %d | %d",
                report.readMicros().getValueAtPercentile(50),
                report.readMicros().getValueAtPercentile(99),
                report.violations().size());
      }
      double seconds = (MonotonicClock.system().nowNanos() - startNanos) / 1e9;
      double used = (ProcessTime.millis(args[0]) - before) / seconds;
      if (i > 0) {
        x[i - 1] = statements / seconds;
        y[i - 1] = used;
        System.out.printf("%.0f | %.1f | %s%n", x[i - 1], used, line);
      }
    }
    System.out.println(LineFit.through(x, y).text("ms/s for each statement/s"));
  }

  private static LoadReport load(InetSocketAddress proxy, String pool, int rate, int seed) {
    LoadPlan plan =
        new LoadPlan(
            () -> List.of(proxy),
            pool,
            WorkloadMix.BRAZOS,
            rate,
            Duration.ofSeconds(SECONDS),
            KEYS,
            1_000L + seed,
            Duration.ofSeconds(5));
    return new LoadRun(plan, MonotonicClock.system(), progress -> {}).run();
  }
}
