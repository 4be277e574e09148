package org.alderyard.cli.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.http.Json;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.testkit.history.HistoryChecker;
import org.alderyard.testkit.history.Operation;
import org.alderyard.testkit.history.Operation.Result;
import org.alderyard.testkit.history.Violation;

/** Generates open-loop load: actions arrive at a fixed mean rate, regardless of responses. */
public final class LoadRun {
  private static final int WORKER_THREADS = 4;
  private static final int MAX_IN_FLIGHT = 20_000;
  private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long FINAL_READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long FINAL_READ_RETRY_MILLIS = 100;

  private final LoadPlan plan;
  private final MonotonicClock clock;
  private final Consumer<String> progress;
  private final SplittableRandom random;
  private final LoadRecorder recorder = new LoadRecorder();
  private final CallerClient client;
  private final AtomicLong nextProxy = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Deque<CallerSession> idleSessions = new ArrayDeque<>();
  private final Set<String> usedKeys = ConcurrentHashMap.newKeySet();
  private int sessionCount;

  /** Creates a run that reports its progress as a line of text every 2 seconds. */
  public LoadRun(LoadPlan plan, MonotonicClock clock, Consumer<String> progress) {
    this.plan = plan;
    this.clock = clock;
    this.progress = progress;
    random = new SplittableRandom(plan.seed());
    client = new CallerClient(plan.pool(), plan.deadline());
  }

  /** Runs the plan, checks the recorded history, and returns the results. */
  public LoadReport run() {
    long startNanos = clock.nowNanos();
    try (WorkerPool workers = new WorkerPool("load", WORKER_THREADS)) {
      generateArrivals(workers, startNanos);
      awaitCompletion(startNanos);
    }
    double seconds = (clock.nowNanos() - startNanos) / 1e9;
    Map<String, List<String>> finalLists = new HashMap<>();
    int unreadKeys = readFinalLists(finalLists);
    List<Operation> checked =
        recorder.operations().stream().filter(o -> finalLists.containsKey(o.key())).toList();
    return report(seconds, HistoryChecker.check(checked, finalLists), unreadKeys);
  }

  private void generateArrivals(WorkerPool workers, long startNanos) {
    long endNanos = startNanos + plan.duration().toNanos();
    double meanNanos = 1e9 / plan.ratePerSecond();
    double nextArrival = startNanos;
    long nextProgress = startNanos + PROGRESS_INTERVAL_NANOS;
    while (nextArrival < endNanos) {
      nextArrival += -meanNanos * Math.log(1 - random.nextDouble());
      waitUntil((long) nextArrival);
      if (inFlight.get() < MAX_IN_FLIGHT) {
        start(workers, (long) nextArrival);
      } else {
        recorder.countError("LOAD_TOOL_FULL");
      }
      if (clock.nowNanos() > nextProgress) {
        progress.accept(progressLine(startNanos));
        nextProgress += PROGRESS_INTERVAL_NANOS;
      }
    }
  }

  private void waitUntil(long nanos) {
    long remaining = nanos - clock.nowNanos();
    while (remaining > 0) {
      LockSupport.parkNanos(remaining);
      remaining = nanos - clock.nowNanos();
    }
  }

  private void start(WorkerPool workers, long arrivalNanos) {
    CallerSession session = acquireSession(workers);
    WorkloadMix.Action action = plan.mix().next(random);
    String key = "key-" + plan.seed() + "-" + random.nextInt(plan.keys());
    usedKeys.add(key);
    inFlight.incrementAndGet();
    session
        .run(action, key, arrivalNanos)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                recorder.countError("LOAD_TOOL_FAILED");
              }
              synchronized (idleSessions) {
                idleSessions.addLast(session);
              }
              inFlight.decrementAndGet();
            });
  }

  private CallerSession acquireSession(WorkerPool workers) {
    synchronized (idleSessions) {
      if (!idleSessions.isEmpty()) {
        return idleSessions.removeFirst();
      }
    }
    String name = "caller-" + plan.seed() + "-" + sessionCount++;
    return new CallerSession(
        name, plan, client, recorder, workers, clock, InstantSource.system(), nextProxy);
  }

  private void awaitCompletion(long startNanos) {
    long timeoutNanos = clock.nowNanos() + plan.deadline().multipliedBy(4).toNanos();
    while (inFlight.get() > 0 && clock.nowNanos() < timeoutNanos) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
    }
    progress.accept(progressLine(startNanos));
  }

  private String progressLine(long startNanos) {
    return String.format(
        "%5.1f s  %d statements, %d in flight, %d sessions, replica reads %.1f %%",
        (clock.nowNanos() - startNanos) / 1e9,
        recorder.statementCount(),
        inFlight.get(),
        sessionCount,
        100 * recorder.replicaShare());
  }

  private int readFinalLists(Map<String, List<String>> finalLists) {
    int unreadKeys = 0;
    long timeoutNanos = clock.nowNanos() + FINAL_READ_TIMEOUT_NANOS;
    for (String key : new java.util.TreeSet<>(usedKeys)) {
      Optional<List<String>> list = readFinal(key, timeoutNanos);
      list.ifPresent(values -> finalLists.put(key, values));
      if (list.isEmpty()) {
        unreadKeys++;
      }
    }
    return unreadKeys;
  }

  private Optional<List<String>> readFinal(String key, long timeoutNanos) {
    ObjectNode statement =
        Json.object()
            .put("key", key)
            .put("kind", "read")
            .put("statement", "get")
            .put("deadlineMillis", plan.deadline().toMillis());
    statement.putObject("freshness").put("mode", "primary");
    do {
      CompletableFuture<CallerReply> response =
          client.send(
              plan.proxy(nextProxy.getAndIncrement()), "load-check", Optional.empty(), statement);
      CallerReply reply = response.join();
      if (reply.result() == Result.OK) {
        return Optional.of(reply.values());
      }
      LockSupport.parkNanos(Duration.ofMillis(FINAL_READ_RETRY_MILLIS).toNanos());
    } while (clock.nowNanos() < timeoutNanos);
    return Optional.empty();
  }

  private LoadReport report(double seconds, List<Violation> violations, int unreadKeys) {
    Map<String, Long> errors = new TreeMap<>();
    recorder.errors().forEach((code, count) -> errors.put(code, count.sum()));
    return new LoadReport(
        seconds,
        recorder.operations(),
        recorder.replicaShare(),
        recorder.browseReplicaShare(),
        recorder.sessionReplicaShare(),
        recorder.readMicros(),
        recorder.writeMicros(),
        recorder.longestWriteGapMillis(),
        errors,
        violations,
        unreadKeys);
  }
}
