package org.alderyard.benchmarks.reads;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import org.alderyard.common.id.PoolName;
import org.alderyard.proxy.limit.AdmissionResult;
import org.alderyard.proxy.limit.ConcurrencyLimit;
import org.alderyard.proxy.limit.Flow;
import org.alderyard.proxy.limit.QueuedStatement;
import org.alderyard.proxy.limit.ServerLimiter;

/**
 * Simulates twelve proxies in front of one overloaded server with five slots.
 *
 * <p>Callers send in an open loop with a deadline of 500 ms; one of ten callers sends half of the
 * statements. Statements refused as not run are resent once after the retry hint. Each statement in
 * excess of the slots slows the server by 1 %, which models contention of locks and caches.
 */
final class OverloadModel {
  private static final int PROXIES = 12;
  private static final int SLOTS = 5;
  private static final int CALLERS = 10;
  private static final int MAX_QUEUED = 64;
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SERVICE = 10 * MILLI;
  private static final long DEADLINE = 500 * MILLI;
  private static final long HOP = 3 * MILLI / 2;
  private static final long SWEEP_INTERVAL = 10 * MILLI;
  private static final double SLOWDOWN_PER_EXCESS_STATEMENT = 0.01;
  private static final PoolName POOL = new PoolName("listings");

  /** Capacity of the server without slowdown, in statements per second. */
  static final double CAPACITY = SLOTS * 1e9 / SERVICE;

  private final EventQueue queue = new EventQueue();
  private final SplittableRandom random;
  private final Optional<IntFunction<ConcurrencyLimit>> limits;
  private final List<ServerLimiter<Statement>> limiters = new ArrayList<>();
  private final ArrayDeque<Statement> atServer = new ArrayDeque<>();
  private int running;
  private final Result result = new Result();

  /** Creates a model; without limits every statement is sent to the server immediately. */
  OverloadModel(long seed, Optional<IntFunction<ConcurrencyLimit>> limits) {
    random = new SplittableRandom(seed);
    this.limits = limits;
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      limits.ifPresent(
          factory -> limiters.add(new ServerLimiter<>(factory.apply(SLOTS), MAX_QUEUED)));
    }
  }

  Result run(double load, long seconds) {
    long meanIntervalNanos = (long) (1e9 / (CAPACITY * load));
    long endNanos = seconds * 1_000 * MILLI;
    arrive(meanIntervalNanos, endNanos);
    if (limits.isPresent()) {
      sweep(endNanos);
    }
    queue.runUntil(endNanos + 2 * DEADLINE);
    result.seconds = seconds;
    return result;
  }

  private void arrive(long meanIntervalNanos, long endNanos) {
    if (queue.now() >= endNanos) {
      return;
    }
    int caller = random.nextBoolean() ? 0 : 1 + random.nextInt(CALLERS - 1);
    result.offered[caller == 0 ? 0 : 1]++;
    submit(new Statement(random.nextInt(PROXIES), caller, queue.now(), queue.now() + DEADLINE));
    long intervalNanos = (long) (-Math.log(1 - random.nextDouble()) * meanIntervalNanos);
    queue.after(intervalNanos, () -> arrive(meanIntervalNanos, endNanos));
  }

  private void sweep(long endNanos) {
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      applyAdmission(limiters.get(proxy).sweep(queue.now()));
    }
    if (queue.now() < endNanos + DEADLINE) {
      queue.after(SWEEP_INTERVAL, () -> sweep(endNanos));
    }
  }

  private void submit(Statement statement) {
    if (limits.isEmpty()) {
      send(statement);
      return;
    }
    Flow flow = new Flow(POOL, "caller-" + statement.caller);
    QueuedStatement<Statement> queued =
        new QueuedStatement<>(flow, false, statement.deadlineNanos, statement);
    applyAdmission(limiters.get(statement.proxy).submit(queued, queue.now()));
  }

  private void applyAdmission(AdmissionResult<Statement> admission) {
    admission.started().forEach(queued -> send(queued.work()));
    admission.refused().forEach(refused -> refused(refused.statement().work(), refused));
  }

  private void refused(Statement statement, AdmissionResult.Refused<Statement> refusal) {
    long retryDelayNanos = refusal.retryAfterMillis() * MILLI;
    boolean canResend =
        !statement.resent && queue.now() + retryDelayNanos < statement.deadlineNanos;
    if (!canResend) {
      result.refused++;
      return;
    }
    statement.resent = true;
    queue.after(retryDelayNanos, () -> submit(statement));
  }

  private void send(Statement statement) {
    statement.sentNanos = queue.now();
    queue.after(
        HOP,
        () -> {
          atServer.addLast(statement);
          serve();
        });
  }

  private void serve() {
    while (running < SLOTS && !atServer.isEmpty()) {
      Statement statement = atServer.removeFirst();
      running++;
      int excess = atServer.size();
      double slowdown = 1 + SLOWDOWN_PER_EXCESS_STATEMENT * excess;
      long service = (long) (SERVICE * (0.5 + random.nextDouble()) * slowdown);
      queue.after(
          service,
          () -> {
            running--;
            queue.after(HOP, () -> recordResponse(statement));
            serve();
          });
    }
  }

  private void recordResponse(Statement statement) {
    boolean inTime = queue.now() <= statement.deadlineNanos;
    result.recordResponse(statement.caller, inTime, queue.now() - statement.createdNanos);
    if (limits.isPresent()) {
      long latency = queue.now() - statement.sentNanos;
      applyAdmission(limiters.get(statement.proxy).complete(false, latency, true, queue.now()));
    }
  }

  private static final class Statement {
    final int proxy;
    final int caller;
    final long createdNanos;
    final long deadlineNanos;
    long sentNanos;
    boolean resent;

    Statement(int proxy, int caller, long createdNanos, long deadlineNanos) {
      this.proxy = proxy;
      this.caller = caller;
      this.createdNanos = createdNanos;
      this.deadlineNanos = deadlineNanos;
    }
  }

  /** Results of a simulation run. */
  static final class Result {
    private static final int DIGITS = 3;
    final long[] offered = new long[2];
    final long[] inTime = new long[2];
    long late;
    long refused;
    long seconds;
    final Histogram answeredNanos = new Histogram(DIGITS);

    void recordResponse(int caller, boolean beforeDeadline, long nanos) {
      answeredNanos.recordValue(nanos);
      if (beforeDeadline) {
        inTime[caller == 0 ? 0 : 1]++;
      } else {
        late++;
      }
    }

    double goodput() {
      return (inTime[0] + inTime[1]) / (double) seconds;
    }

    /** Returns the percentage of statements of the nine ordinary callers that completed in time. */
    double ordinaryCallersShare() {
      return 100.0 * inTime[1] / offered[1];
    }

    /** Returns the percentage of responses that arrived after the deadline. */
    double lateShare() {
      return 100.0 * late / Math.max(1, late + inTime[0] + inTime[1]);
    }
  }
}
