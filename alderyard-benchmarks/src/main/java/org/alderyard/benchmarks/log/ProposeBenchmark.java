package org.alderyard.benchmarks.log;

import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.alderyard.common.time.MonotonicClock;

/** Measures proposal latency at the leader by the number of concurrent callers. */
final class ProposeBenchmark {
  private static final int[] CALLERS = {1, 8, 64};
  private static final int WARM_UP = 500;
  private static final int PROPOSALS = 3_000;
  private static final int COMMAND_BYTES = 200;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock;
  private final PrintStream out;

  ProposeBenchmark(MonotonicClock clock, PrintStream out) {
    this.clock = clock;
    this.out = out;
  }

  void run(Path folder) {
    BenchCluster cluster = new BenchCluster(folder, 3);
    BenchHost leader = cluster.nextLeader();
    out.println("| callers | p50 ms | p99 ms | max ms | proposals/s | runs lost to elections | |");
    out.println("|---|---|---|---|---|---|---|");
    for (int callers : CALLERS) {
      leader = measureWithStableLeader(cluster, leader, callers, WARM_UP);
    }
    for (int callers : CALLERS) {
      leader = measureWithStableLeader(cluster, leader, callers, PROPOSALS);
    }
    cluster.close();
  }

  /**
   * Repeats and counts runs interrupted by a change of the leader, since the latency of such runs
   * is not meaningful.
   */
  private BenchHost measureWithStableLeader(
      BenchCluster cluster, BenchHost first, int callers, int proposals) {
    BenchHost leader = first;
    for (int interruptedRuns = 0; ; interruptedRuns++) {
      try {
        String row = measure(leader, callers, proposals);
        out.println(
            row + " " + interruptedRuns + " | " + (proposals == WARM_UP ? "warm-up" : "") + " |");
        return leader;
      } catch (CompletionException leaderChanged) {
        leader = cluster.nextLeader();
      }
    }
  }

  private String measure(BenchHost leader, int callers, int proposals) {
    ConcurrentHistogram latency = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    AtomicInteger remaining = new AtomicInteger(proposals);
    CompletableFuture<?>[] done = new CompletableFuture<?>[callers];
    long startNanos = clock.nowNanos();
    for (int caller = 0; caller < callers; caller++) {
      done[caller] = new CompletableFuture<Void>();
      proposeNext(leader, remaining, latency, done[caller]);
    }
    CompletableFuture.allOf(done).join();
    double seconds = (clock.nowNanos() - startNanos) / NANOS_PER_SECOND;
    return "| %d | %.2f | %.2f | %.2f | %.0f |"
        .formatted(
            callers,
            latency.getValueAtPercentile(50) / NANOS_PER_MILLI,
            latency.getValueAtPercentile(99) / NANOS_PER_MILLI,
            latency.getMaxValue() / NANOS_PER_MILLI,
            proposals / seconds);
  }

  private void proposeNext(
      BenchHost leader,
      AtomicInteger remaining,
      ConcurrentHistogram latency,
      CompletableFuture<?> done) {
    if (remaining.getAndDecrement() <= 0) {
      done.complete(null);
      return;
    }
    long startNanos = clock.nowNanos();
    leader
        .log()
        .propose(ByteString.copyFrom(new byte[COMMAND_BYTES]))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                done.completeExceptionally(failure);
                return;
              }
              latency.recordValue(clock.nowNanos() - startNanos);
              proposeNext(leader, remaining, latency, done);
            });
  }
}
