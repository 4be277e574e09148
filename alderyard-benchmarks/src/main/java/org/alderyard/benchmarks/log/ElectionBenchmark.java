package org.alderyard.benchmarks.log;

import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import org.HdrHistogram.Histogram;
import org.alderyard.common.time.MonotonicClock;

/** Measures the time from the loss of a leader to the first proposal committed by a new leader. */
final class ElectionBenchmark {
  private static final int LEADER_LOSSES = 120;
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

  private BenchHost measure(String name, BenchCluster cluster, BenchHost first, LeaderLoss loss) {
    Histogram gap = new Histogram(SIGNIFICANT_DIGITS);
    BenchHost leader = first;
    for (int i = 0; i < LEADER_LOSSES; i++) {
      leader = awaitCommit(cluster, leader);
      long startNanos = clock.nowNanos();
      loss.of(leader);
      final BenchHost next = awaitCommit(cluster, cluster.nextLeader());
      gap.recordValue(Math.round((clock.nowNanos() - startNanos) / 1e6));
      leader.releaseThreads();
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

  /**
   * Proposes until a leader commits, and returns that leader, which may differ from the candidate.
   */
  private static BenchHost awaitCommit(BenchCluster cluster, BenchHost candidate) {
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

  /** Way in which a leader is lost. */
  private interface LeaderLoss {
    void of(BenchHost leader);
  }
}
