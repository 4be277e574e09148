package org.alderyard.benchmarks.log;

import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import org.HdrHistogram.Histogram;
import org.alderyard.common.time.MonotonicClock;

/** The gap from the loss of a leader to the first proposal that the next one has committed. */
final class ElectionBenchmark {
  private static final int LOSSES = 120;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final ByteString COMMAND = ByteString.copyFromUtf8("after the loss");

  private final MonotonicClock clock;
  private final PrintStream out;

  ElectionBenchmark(MonotonicClock clock, PrintStream out) {
    this.clock = clock;
    this.out = out;
  }

  void run(Path folder) {
    BenchCluster cluster = new BenchCluster(folder, 3);
    out.println("| leader | losses | p50 ms | p99 ms | max ms |");
    out.println("|---|---|---|---|---|");
    BenchHost leader = cluster.nextLeader();
    leader = measure("killed", cluster, leader, BenchHost::kill);
    measure("closed with hand-over", cluster, leader, BenchHost::close);
    cluster.close();
  }

  private BenchHost measure(String name, BenchCluster cluster, BenchHost first, Loss loss) {
    Histogram gap = new Histogram(SIGNIFICANT_DIGITS);
    BenchHost leader = first;
    for (int i = 0; i < LOSSES; i++) {
      leader = settled(cluster, leader);
      long startNanos = clock.nowNanos();
      loss.of(leader);
      final BenchHost next = settled(cluster, cluster.nextLeader());
      gap.recordValue(Math.round((clock.nowNanos() - startNanos) / 1e6));
      leader.free();
      cluster.restart(leader.number());
      long committed = next.log().status().appliedIndex();
      cluster.hosts().forEach(host -> host.awaitApplied(committed));
      leader = next;
    }
    out.printf(
        "| %s | %d | %d | %d | %d |%n",
        name,
        gap.getTotalCount(),
        gap.getValueAtPercentile(50),
        gap.getValueAtPercentile(99),
        gap.getMaxValue());
    return leader;
  }

  /** Returns the host that has committed a proposal, which may be another one by now. */
  private static BenchHost settled(BenchCluster cluster, BenchHost candidate) {
    BenchHost leader = candidate;
    while (true) {
      try {
        leader.propose(COMMAND);
        return leader;
      } catch (CompletionException leaderChanged) {
        leader = cluster.nextLeader();
      }
    }
  }

  /** How a leader is lost. */
  private interface Loss {
    void of(BenchHost leader);
  }
}
