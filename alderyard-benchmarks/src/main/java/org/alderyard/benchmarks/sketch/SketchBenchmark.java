package org.alderyard.benchmarks.sketch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;
import org.alderyard.benchmarks.sketch.TailSummary.HdrSummary;
import org.alderyard.benchmarks.sketch.TailSummary.ReqSummary;
import org.alderyard.common.time.MonotonicClock;

/**
 * Compares mergeable summaries of a latency trace that is distributed over twelve proxies.
 *
 * <p>The argument is a file with one latency in microseconds per line, as written by {@code
 * alderyard load --trace FILE}.
 */
public final class SketchBenchmark {
  private static final int PROXIES = 12;
  private static final int MERGE_ROUNDS = 50;
  private static final double[] RANKS = {0.5, 0.99, 0.999, 0.9999};

  private SketchBenchmark() {}

  /** Prints one line per summary. */
  public static void main(String[] args) throws IOException {
    if (args.length != 1) {
      System.err.println("usage: SketchBenchmark TRACE-FILE");
      System.exit(2);
    }
    long[] trace =
        Files.readAllLines(Path.of(args[0])).stream().mapToLong(Long::parseLong).toArray();
    long[] sorted = trace.clone();
    Arrays.sort(sorted);
    System.out.printf("values %d, max %d us%n", sorted.length, sorted[sorted.length - 1]);
    System.out.println(
        "summary | bytes a proxy | merge of 12, us | error at p50 % | p99 % | p99.9 % | p99.99 %");
    print("exact", sorted);
    run("HdrHistogram, 2 digits", () -> new HdrSummary(2), trace, sorted);
    run("HdrHistogram, 3 digits", () -> new HdrSummary(3), trace, sorted);
    run("ReqSketch, k=12", () -> new ReqSummary(12), trace, sorted);
    run("ReqSketch, k=30", () -> new ReqSummary(30), trace, sorted);
    run("ReqSketch, k=50", () -> new ReqSummary(50), trace, sorted);
  }

  private static void print(String name, long[] sorted) {
    StringBuilder line = new StringBuilder(name + " | | ");
    for (double rank : RANKS) {
      line.append("| ").append(exact(sorted, rank)).append(" us ");
    }
    System.out.println(line);
  }

  private static void run(String name, Supplier<TailSummary> factory, long[] trace, long[] sorted) {
    long bestNanos = Long.MAX_VALUE;
    TailSummary merged = null;
    double bytes = 0;
    for (int round = 0; round < MERGE_ROUNDS; round++) {
      List<TailSummary> proxySummaries = proxySummaries(factory, trace);
      bytes = proxySummaries.stream().mapToInt(TailSummary::serializedBytes).average().orElse(0);
      TailSummary target = factory.get();
      long startNanos = MonotonicClock.system().nowNanos();
      merged = target.mergedWith(proxySummaries);
      bestNanos = Math.min(bestNanos, MonotonicClock.system().nowNanos() - startNanos);
    }
    StringBuilder line =
        new StringBuilder(String.format("%s | %.0f | %.1f ", name, bytes, bestNanos / 1e3));
    for (double rank : RANKS) {
      double exactValue = exact(sorted, rank);
      line.append(
          String.format(
              "| %.2f ", 100 * Math.abs(merged.quantile(rank) - exactValue) / exactValue));
    }
    System.out.println(line);
  }

  private static List<TailSummary> proxySummaries(Supplier<TailSummary> factory, long[] trace) {
    List<TailSummary> proxySummaries = new ArrayList<>();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      proxySummaries.add(factory.get());
    }
    for (int i = 0; i < trace.length; i++) {
      proxySummaries.get(i % PROXIES).add(trace[i]);
    }
    return proxySummaries;
  }

  private static long exact(long[] sorted, double rank) {
    int index = (int) Math.ceil(rank * sorted.length) - 1;
    return sorted[Math.max(0, Math.min(sorted.length - 1, index))];
  }
}
