package org.alderyard.benchmarks.failover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.alderyard.benchmarks.failover.DecisionTimes.Step;
import org.alderyard.benchmarks.failover.GapCaller.Acknowledged;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.failover.FailoverMethods;
import org.alderyard.protocol.generated.failover.HandOverRequest;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;

/**
 * Replaces primaries one after another while callers write, and prints the write gaps.
 *
 * <p>Arguments: the kind of fault ({@code kill}, {@code pause}, {@code partition}, {@code planned})
 * and the number of failovers. The servers run as processes. Their responses are delayed by 3 ms,
 * twice the 1.5 ms between zones, and callers add 3 ms in each direction to their proxy.
 */
public final class FailoverGapBenchmark {
  private static final int GROUPS = 6;
  private static final int CALLERS = 3;
  private static final long FAILOVER_TIMEOUT_NANOS = Duration.ofSeconds(20).toNanos();
  private static final long START_TIMEOUT_NANOS = Duration.ofSeconds(30).toNanos();
  private static final long MIN_ROUND_MILLIS = 2_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final GapCluster cluster;
  private final DecisionTimes decisions = DecisionTimes.install();
  private final List<List<GapCaller>> callers = new ArrayList<>();
  private final Histogram gaps = new Histogram(3);
  private final Map<Step, Histogram> stepDurations = new EnumMap<>(Step.class);
  private final Histogram resume = new Histogram(3);
  private final WorkerPool workers = new WorkerPool("gap", 2);
  private final ControlClient control;
  private int timedOutFailovers;

  private FailoverGapBenchmark(GapCluster cluster) {
    this.cluster = cluster;
    var settings = cluster.controlHost();
    ProtocolOptions options =
        new ProtocolOptions(
            settings.clusterId(),
            new HostId("gap"),
            1,
            settings.clusterKey(),
            Duration.ofSeconds(1),
            100);
    control =
        new ControlClient(
            new PeerLinks(new EventLoops(1), options), settings.controlHosts(), workers);
    for (Step step : Step.values()) {
      stepDurations.put(step, new Histogram(3));
    }
  }

  /** Runs the given number of failovers with one kind of fault. */
  public static void main(String[] args) throws IOException, InterruptedException {
    String kind = args[0];
    int count = Integer.parseInt(args[1]);
    Path folder = Files.createTempDirectory("failover-gap");
    try (GapCluster cluster = new GapCluster(folder, GROUPS)) {
      new FailoverGapBenchmark(cluster).run(kind, count);
    } catch (IllegalStateException failure) {
      System.out.println("measure failed: " + failure.getMessage());
    }
    System.exit(0);
  }

  private void run(String kind, int count) throws IOException, InterruptedException {
    startCallers();
    for (int i = 0; i < count; i++) {
      measureFailover(kind, i % GROUPS);
    }
    Thread.sleep(MIN_ROUND_MILLIS);
    callers.forEach(group -> group.forEach(GapCaller::end));
    print(kind);
  }

  private void startCallers() throws InterruptedException {
    for (int group = 0; group < GROUPS; group++) {
      List<GapCaller> started = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        GapCaller caller =
            new GapCaller(cluster.http(), cluster.proxy(i), "p" + group, "c" + group + i);
        Thread thread = new Thread(caller, "caller-" + group + "-" + i);
        thread.setDaemon(true);
        thread.start();
        started.add(caller);
      }
      callers.add(started);
    }
    long endNanos = System.nanoTime() + START_TIMEOUT_NANOS;
    for (List<GapCaller> group : callers) {
      while (group.stream().anyMatch(caller -> caller.acknowledged().isEmpty())) {
        if (System.nanoTime() > endNanos) {
          throw new IllegalStateException(
              "a caller received no acknowledgement within the start timeout; last errors: "
                  + group.stream().map(GapCaller::lastError).toList());
        }
        Thread.sleep(50);
      }
    }
  }

  private void measureFailover(String kind, int group) throws InterruptedException {
    while (!cluster.isHealthy(group)) {
      Thread.sleep(50);
    }
    final ServerProcess primary = cluster.primary(group).orElseThrow();
    callers.get(group).forEach(GapCaller::clear);
    decisions.clear("g" + group);
    while (acknowledgedWrites(group).isEmpty()) {
      Thread.sleep(5);
    }
    final long faultNanos = System.nanoTime();
    final long faultMillis = System.currentTimeMillis();
    inject(kind, group, primary);
    Optional<Acknowledged> first = awaitWriteToOtherServer(group, primary.name(), faultNanos);
    long firstMillis = System.currentTimeMillis();
    if (first.isEmpty()) {
      timedOutFailovers++;
    } else {
      recordFailover(group, primary.name(), first.get(), faultMillis, firstMillis);
    }
    recover(kind, primary);
    Thread.sleep(Math.max(0, MIN_ROUND_MILLIS - (System.currentTimeMillis() - faultMillis)));
  }

  private void inject(String kind, int group, ServerProcess primary) {
    switch (kind) {
      case "kill" -> primary.kill();
      case "pause" -> primary.signal("STOP");
      case "partition" -> primary.setUnreachable(true);
      case "planned" ->
          control.callIdempotent(
              FailoverMethods.HAND_OVER,
              HandOverRequest.newBuilder().setGroup("g" + group).build(),
              Duration.ofSeconds(2));
      default -> throw new IllegalArgumentException("unknown kind of fault: " + kind);
    }
  }

  private void recover(String kind, ServerProcess primary) {
    switch (kind) {
      case "kill" -> workers.execute(() -> restart(primary));
      case "pause" -> primary.signal("CONT");
      case "partition" -> primary.setUnreachable(false);
      default -> {
        // A planned hand-over requires no recovery.
      }
    }
  }

  private static void restart(ServerProcess server) {
    try {
      server.start();
      server.awaitReady();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Acknowledged> acknowledgedWrites(int group) {
    List<Acknowledged> all = new ArrayList<>();
    callers.get(group).forEach(caller -> all.addAll(caller.acknowledged()));
    all.sort(java.util.Comparator.comparingLong(Acknowledged::atNanos));
    return all;
  }

  private Optional<Acknowledged> awaitWriteToOtherServer(
      int group, String oldPrimary, long faultNanos) throws InterruptedException {
    while (System.nanoTime() - faultNanos < FAILOVER_TIMEOUT_NANOS) {
      Optional<Acknowledged> first =
          acknowledgedWrites(group).stream()
              .filter(write -> !write.server().equals(oldPrimary))
              .findFirst();
      if (first.isPresent()) {
        return first;
      }
      Thread.sleep(1);
    }
    return Optional.empty();
  }

  private void recordFailover(
      int group, String oldPrimary, Acknowledged first, long faultMillis, long firstMillis) {
    long last =
        acknowledgedWrites(group).stream()
            .filter(write -> write.server().equals(oldPrimary))
            .mapToLong(Acknowledged::atNanos)
            .filter(at -> at < first.atNanos())
            .max()
            .orElseThrow();
    gaps.recordValue((first.atNanos() - last) / NANOS_PER_MILLI);
    Map<Step, Long> times = decisions.of("g" + group);
    long previousMillis = faultMillis;
    for (Step step : Step.values()) {
      if (times.containsKey(step)) {
        stepDurations.get(step).recordValue(Math.max(0, times.get(step) - previousMillis));
        previousMillis = times.get(step);
      }
    }
    resume.recordValue(Math.max(0, firstMillis - previousMillis));
  }

  private void print(String kind) throws IOException, InterruptedException {
    int lost = 0;
    int duplicates = 0;
    int total = 0;
    int unknownOutcomes = 0;
    for (List<GapCaller> group : callers) {
      for (GapCaller caller : group) {
        int[] lostAndDuplicate = caller.countLostAndDuplicate();
        lost += lostAndDuplicate[0];
        duplicates += lostAndDuplicate[1];
        total += caller.total();
        unknownOutcomes += caller.unknownOutcomes();
      }
    }
    System.out.println("measure kind=" + kind + " not_ended=" + timedOutFailovers);
    printSummary("gap", gaps);
    printSummary("detect", stepDurations.get(Step.AGREED));
    printSummary("decide", stepDurations.get(Step.GRANTED));
    printSummary("fence", stepDurations.get(Step.FENCED));
    printSummary("choose", stepDurations.get(Step.CHOSEN));
    printSummary("promote", stepDurations.get(Step.PROMOTED));
    printSummary("publish", stepDurations.get(Step.PUBLISHED));
    printSummary("resume", resume);
    System.out.printf(
        "measure acknowledged=%d lost=%d doubled=%d outcome_unknown=%d%n",
        total, lost, duplicates, unknownOutcomes);
  }

  private static void printSummary(String name, Histogram millis) {
    System.out.printf(
        "measure %s n=%d p50=%d p99=%d max=%d ms%n",
        name,
        millis.getTotalCount(),
        millis.getValueAtPercentile(50),
        millis.getValueAtPercentile(99),
        millis.getMaxValue());
  }
}
