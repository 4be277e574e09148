package org.alderyard.benchmarks.reads;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.alderyard.common.id.ZoneName;
import org.alderyard.proxy.limit.AimdLimit;
import org.alderyard.proxy.limit.ConcurrencyLimit;
import org.alderyard.proxy.limit.FixedLimit;
import org.alderyard.proxy.limit.GradientLimit;
import org.alderyard.proxy.limit.LeaseShareLimit;
import org.alderyard.proxy.routing.ReadRouter;
import org.alderyard.proxy.routing.ServerChooser;

/** Prints tables of replica share and of goodput under overload; fails if a bound is violated. */
public final class ReadsBenchmark {
  private static final long SEED = 20_261_202;
  private static final long[] LAGS_MILLIS = {0, 50, 200, 1_000, 5_000};
  private static final double[] READ_SHARES = {0.5, 0.9, 0.99};
  private static final double[] LOADS = {0.5, 1, 2, 5, 10};
  private static final long SHARE_SECONDS = 130;
  private static final long OVERLOAD_SECONDS = 30;
  private static final long WAIT_BUDGET = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long NAIVE_WINDOW = TimeUnit.SECONDS.toNanos(2);
  private static final double MIN_BROWSING_SHARE = 99;
  private static final double MIN_SESSION_SHARE = 90;
  private static final double MIN_GOODPUT_SHARE = 90;

  private int violatedBounds;

  private ReadsBenchmark() {}

  /** Runs all simulations; the exit code is 1 if a bound is violated. */
  public static void main(String[] args) {
    ReadsBenchmark benchmark = new ReadsBenchmark();
    benchmark.replicaShare();
    benchmark.overload();
    System.out.println("bounds broken: " + benchmark.violatedBounds);
    System.exit(benchmark.violatedBounds == 0 ? 0 : 1);
  }

  private static ReadRouter router(long waitBudgetNanos) {
    return new ReadRouter(
        new ServerChooser(
            new ZoneName("tx-central-a"),
            ServerChooser.DEFAULT_OTHER_ZONE_FACTOR,
            new SplittableRandom(SEED)),
        waitBudgetNanos);
  }

  private static ReadPolicy policy(String name) {
    return switch (name) {
      case "alderyard" -> ReadPolicy.router(router(WAIT_BUDGET));
      case "no wait" -> ReadPolicy.router(router(0));
      default -> ReadPolicy.naive(NAIVE_WINDOW, 2, new SplittableRandom(SEED));
    };
  }

  private void replicaShare() {
    System.out.println(
        "| lag ms | reads % | policy | on replicas % | browsing % | session % | stale |"
            + " session p50 ms | p99 ms |");
    System.out.println("|---:|---:|---|---:|---:|---:|---:|---:|---:|");
    for (long lag : LAGS_MILLIS) {
      for (double share : READ_SHARES) {
        for (String name : new String[] {"alderyard", "no wait", "naive 2 s"}) {
          ReplicaShareModel.Result result =
              new ReplicaShareModel(SEED, lag, share, policy(name)).run(SHARE_SECONDS);
          printShare(lag, share, name, result);
          if (name.equals("alderyard")) {
            checkShare(lag, result);
          }
        }
      }
    }
  }

  private static void printShare(
      long lag, double share, String name, ReplicaShareModel.Result result) {
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %d | %.0f | %s | %.1f | %.1f | %.1f | %d | %.1f | %.1f |",
            lag,
            share * 100,
            name,
            result.allShare(),
            result.browsingShare(),
            result.sessionShare(),
            result.violations,
            result.sessionNanos.getValueAtPercentile(50) / 1e6,
            result.sessionNanos.getValueAtPercentile(99) / 1e6));
  }

  private void checkShare(long lag, ReplicaShareModel.Result result) {
    check("no stale read at lag " + lag, result.violations == 0);
    if (lag <= 200) {
      check("browsing share at lag " + lag, result.browsingShare() >= MIN_BROWSING_SHARE);
      check("session share at lag " + lag, result.sessionShare() >= MIN_SESSION_SHARE);
    }
  }

  private void overload() {
    Map<String, Optional<IntFunction<ConcurrencyLimit>>> limitsByName = new TreeMap<>();
    limitsByName.put("1 none", Optional.empty());
    limitsByName.put("2 slots", Optional.of(FixedLimit::new));
    limitsByName.put("3 AIMD", Optional.of(AimdLimit::new));
    limitsByName.put("4 gradient", Optional.of(GradientLimit::new));
    // Twelve proxies with equal demand hold equal leases: 31 of 35 connections, 2 or 3 each.
    limitsByName.put(
        "5 leased slots", Optional.of(slots -> new LeaseShareLimit(slots, () -> 2, () -> 35)));
    System.out.println();
    System.out.println(
        "| limit | load | goodput /s | of peak % | late answers % | others in time % | p50 ms |"
            + " p99 ms |");
    System.out.println("|---|---:|---:|---:|---:|---:|---:|---:|");
    limitsByName.forEach(this::overload);
  }

  private void overload(String name, Optional<IntFunction<ConcurrencyLimit>> limits) {
    double peak = 0;
    for (double load : LOADS) {
      OverloadModel.Result result = new OverloadModel(SEED, limits).run(load, OVERLOAD_SECONDS);
      peak = Math.max(peak, result.goodput());
      double ofPeak = 100 * result.goodput() / peak;
      System.out.println(
          String.format(
              Locale.ROOT,
              "| %s | %.1f | %.0f | %.1f | %.2f | %.1f | %.1f | %.1f |",
              name.substring(2),
              load,
              result.goodput(),
              ofPeak,
              result.lateShare(),
              result.ordinaryCallersShare(),
              result.answeredNanos.getValueAtPercentile(50) / 1e6,
              result.answeredNanos.getValueAtPercentile(99) / 1e6));
      if (name.equals("5 leased slots")) {
        check("goodput at load " + load, load < 1 || ofPeak >= MIN_GOODPUT_SHARE);
        check("accepted keep their deadline at load " + load, result.lateShare() < 1);
      }
    }
  }

  private void check(String bound, boolean satisfied) {
    if (!satisfied) {
      violatedBounds++;
      System.out.println("BROKEN: " + bound);
    }
  }
}
