package org.alderyard.cli.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.http.Json;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.testkit.history.Operation;
import org.alderyard.testkit.history.Operation.Kind;
import org.alderyard.testkit.history.Operation.Result;

/** A simulated caller with a session token; sends one request at a time, to each proxy in turn. */
final class CallerSession {
  private static final long BROWSE_STALENESS_MILLIS = 5_000;
  private static final long MIN_RETRY_MILLIS = 20;

  private final String name;
  private final LoadPlan plan;
  private final CallerClient client;
  private final LoadRecorder recorder;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final AtomicLong nextProxy;
  private Optional<String> token = Optional.empty();
  private int appendCount;

  CallerSession(
      String name,
      LoadPlan plan,
      CallerClient client,
      LoadRecorder recorder,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock,
      AtomicLong nextProxy) {
    this.name = name;
    this.plan = plan;
    this.client = client;
    this.recorder = recorder;
    this.workers = workers;
    this.clock = clock;
    this.wallClock = wallClock;
    this.nextProxy = nextProxy;
  }

  /**
   * Runs an action.
   *
   * @param arrivalNanos scheduled arrival from which latency is measured, even if the request is
   *     sent later
   */
  CompletableFuture<Void> run(WorkloadMix.Action action, String key, long arrivalNanos) {
    return switch (action) {
      case BROWSE -> read(key, true, arrivalNanos);
      case SESSION_READ -> read(key, false, arrivalNanos);
      case CHANGE ->
          append(key, arrivalNanos).thenCompose(done -> read(key, false, clock.nowNanos()));
    };
  }

  private CompletableFuture<Void> read(String key, boolean browse, long arrivalNanos) {
    ObjectNode statement = statement(key, "read", "get");
    if (browse) {
      statement
          .putObject("freshness")
          .put("mode", "bounded")
          .put("maxStalenessMillis", BROWSE_STALENESS_MILLIS);
    }
    OptionalLong maxStaleness =
        browse ? OptionalLong.of(BROWSE_STALENESS_MILLIS) : OptionalLong.empty();
    long startNanos = clock.nowNanos();
    return attempt(statement, deadlineNanos())
        .thenAccept(
            reply -> {
              long endNanos = clock.nowNanos();
              recorder.recordOperation(
                  new Operation(
                      name,
                      key,
                      Kind.READ,
                      "",
                      reply.result(),
                      startNanos,
                      endNanos,
                      reply.values(),
                      maxStaleness));
              if (reply.result() == Result.OK) {
                recorder.recordRead(
                    browse, reply.servedByReplica(), micros(endNanos - arrivalNanos));
              }
            });
  }

  private CompletableFuture<Void> append(String key, long arrivalNanos) {
    String value = name + "-" + appendCount++;
    ObjectNode statement = statement(key, "write", "append");
    statement.putArray("parameters").add(value);
    statement.put("requestId", value);
    statement.put("requestedAtMillis", wallClock.millis());
    long startNanos = clock.nowNanos();
    return attempt(statement, deadlineNanos())
        .thenAccept(
            reply -> {
              long endNanos = clock.nowNanos();
              recorder.recordOperation(
                  new Operation(
                      name,
                      key,
                      Kind.APPEND,
                      value,
                      reply.result(),
                      startNanos,
                      endNanos,
                      List.of(),
                      OptionalLong.empty()));
              if (reply.result() == Result.OK) {
                recorder.recordWrite(reply.group(), endNanos, micros(endNanos - arrivalNanos));
              }
            });
  }

  private ObjectNode statement(String key, String kind, String operation) {
    return Json.object()
        .put("key", key)
        .put("kind", kind)
        .put("statement", operation)
        .put("deadlineMillis", plan.deadline().toMillis());
  }

  private long deadlineNanos() {
    return clock.nowNanos() + plan.deadline().toNanos();
  }

  /** Resends a request through the next proxy until its result is final or its deadline ends. */
  private CompletableFuture<CallerReply> attempt(ObjectNode statement, long deadlineNanos) {
    return attempt(statement, deadlineNanos, false);
  }

  private CompletableFuture<CallerReply> attempt(
      ObjectNode statement, long deadlineNanos, boolean mayHaveRunBefore) {
    return client
        .send(plan.proxy(nextProxy.getAndIncrement()), name, token, statement)
        .thenCompose(
            reply -> {
              reply.token().ifPresent(next -> token = Optional.of(next));
              if (reply.result() == Result.OK) {
                return CompletableFuture.completedFuture(reply);
              }
              recorder.countError(reply.code());
              boolean mayHaveRun = mayHaveRunBefore || reply.result() == Result.UNKNOWN;
              long delayMillis = Math.max(MIN_RETRY_MILLIS, reply.retryAfterMillis());
              boolean beforeDeadline =
                  clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMillis) < deadlineNanos;
              if (!reply.retryable() || !beforeDeadline) {
                return CompletableFuture.completedFuture(mayHaveRun ? unknownResult(reply) : reply);
              }
              return delay(delayMillis)
                  .thenCompose(done -> attempt(statement, deadlineNanos, mayHaveRun));
            });
  }

  /** Returns an unknown result: an earlier attempt may have run although the last was refused. */
  private static CallerReply unknownResult(CallerReply last) {
    return CallerReply.noResponse(last.code());
  }

  private CompletableFuture<Void> delay(long millis) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    workers.schedule(Duration.ofMillis(millis), () -> done.complete(null));
    return done;
  }

  private static long micros(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos));
  }
}
