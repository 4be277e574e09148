package org.alderyard.benchmarks.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.admission.AdmissionDecision;
import org.alderyard.proxy.admission.AdmissionRequest;
import org.alderyard.proxy.admission.DeadlineAdmission;
import org.alderyard.proxy.admission.DeadlineQueue;
import org.alderyard.proxy.admission.GroupAdmission;
import org.alderyard.proxy.admission.ServerLoad;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Time of one admission decision and of one turn of the queue; the bound of a decision is 2
 * microseconds at 1,000 queued statements. Command: {@code bin/benchmark
 * admission.AdmissionBenchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int SLOTS = 5;
  private static final List<ServerId> SERVERS =
      List.of(new ServerId("s1"), new ServerId("s2"), new ServerId("s3"));
  private static final long SERVICE_NANOS = 24 * MILLI;

  /** The number of queued statements. */
  @Param({"10", "1000"})
  public int queued;

  private final DeadlineQueue<Integer> queue = new DeadlineQueue<>();
  private final GroupAdmission admission = new GroupAdmission(new DeadlineAdmission());
  private final Random random = new Random(3);
  private long nowNanos;

  /** Fills the queue. */
  @Setup
  public void fillQueue() {
    while (queue.size() < queued) {
      queue.add(nextRequest(), queue.size());
    }
  }

  /** Returns one of the three kinds of statements of docs/design/competing-load.md. */
  private AdmissionRequest nextRequest() {
    return switch (random.nextInt(3)) {
      case 0 -> AdmissionRequest.of(nowNanos + 1_000 * MILLI, 1_000, 200, 0, false);
      case 1 -> AdmissionRequest.of(nowNanos + 2_000 * MILLI, 2_000, 1_200, 2, false);
      default -> AdmissionRequest.of(nowNanos + 1_000 * MILLI, 1_000, 400, 1, false);
    };
  }

  private List<ServerLoad> loads() {
    List<ServerLoad> loads = new ArrayList<>();
    for (ServerId server : SERVERS) {
      loads.add(admission.serverLoad(server, 1, SLOTS, SLOTS, false, 0));
    }
    return loads;
  }

  /** Collects the load and decides about an arriving statement. */
  @Benchmark
  public AdmissionDecision decide() {
    AdmissionRequest request = nextRequest();
    int before = queue.countBefore(request, nowNanos, SERVICE_NANOS);
    GroupAdmission.Situation situation =
        new GroupAdmission.Situation(loads(), before, queue.size(), 0);
    return admission.decide(request, situation, nowNanos);
  }

  /** Queues a statement and takes the next one. */
  @Benchmark
  public DeadlineQueue.Turn<Integer> turn() {
    queue.add(nextRequest(), 0);
    return queue.poll(nowNanos, SERVICE_NANOS, false);
  }

  /** Runs the benchmarks of this class. */
  public static void main(String[] args) throws RunnerException {
    new Runner(new OptionsBuilder().include(AdmissionBenchmark.class.getSimpleName()).build())
        .run();
  }
}
