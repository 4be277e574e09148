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
 * Twelve proxies before one server with five slots, and more work than it can do.
 *
 * <p>Callers send in an open loop with a deadline of 500 ms, and half of the work comes from one
 * caller of ten. What is refused as not run is sent once more after the hint. A server that has
 * more statements than slots loses 1 % of its speed for each one too many, as locks and caches do.
 */
final class OverloadModel {
  private static final int PROXIES = 12;
  private static final int SLOTS = 5;
  private static final int CALLERS = 10;
  private static final int QUEUE = 64;
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SERVICE = 10 * MILLI;
  private static final long DEADLINE = 500 * MILLI;
  private static final long HOP = 3 * MILLI / 2;
  private static final long SWEEP = 10 * MILLI;
  private static final double LOSS_PER_EXCESS = 0.01;
  private static final PoolName POOL = new PoolName("listings");

  /** What the server does without any loss, in statements a second. */
  static final double CAPACITY = SLOTS * 1e9 / SERVICE;

  private final EventQueue queue = new EventQueue();
  private final SplittableRandom random;
  private final Optional<IntFunction<ConcurrencyLimit>> limits;
  private final List<ServerLimiter<Statement>> limiters = new ArrayList<>();
  private final ArrayDeque<Statement> atServer = new ArrayDeque<>();
  private int running;
  private final Result result = new Result();

  /** Creates a model; without limits every statement goes to the server at once. */
  OverloadModel(long seed, Optional<IntFunction<ConcurrencyLimit>> limits) {
    random = new SplittableRandom(seed);
    this.limits = limits;
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      limits.ifPresent(factory -> limiters.add(new ServerLimiter<>(factory.apply(SLOTS), QUEUE)));
    }
  }

  Result run(double load, long seconds) {
    long meanGap = (long) (1e9 / (CAPACITY * load));
    long end = seconds * 1_000 * MILLI;
    arrive(meanGap, end);
    if (limits.isPresent()) {
      sweep(end);
    }
    queue.runUntil(end + 2 * DEADLINE);
    result.seconds = seconds;
    return result;
  }

  private void arrive(long meanGap, long end) {
    if (queue.now() >= end) {
      return;
    }
    int caller = random.nextBoolean() ? 0 : 1 + random.nextInt(CALLERS - 1);
    result.offered[caller == 0 ? 0 : 1]++;
    submit(new Statement(random.nextInt(PROXIES), caller, queue.now(), queue.now() + DEADLINE));
    long gap = (long) (-Math.log(1 - random.nextDouble()) * meanGap);
    queue.after(gap, () -> arrive(meanGap, end));
  }

  private void sweep(long end) {
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      perform(limiters.get(proxy).sweep(queue.now()));
    }
    if (queue.now() < end + DEADLINE) {
      queue.after(SWEEP, () -> sweep(end));
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
    perform(limiters.get(statement.proxy).submit(queued, queue.now()));
  }

  private void perform(AdmissionResult<Statement> admission) {
    admission.started().forEach(queued -> send(queued.work()));
    admission.refused().forEach(refused -> refused(refused.statement().work(), refused));
  }

  private void refused(Statement statement, AdmissionResult.Refused<Statement> refusal) {
    long again = refusal.retryAfterMillis() * MILLI;
    boolean worthAnother = !statement.resent && queue.now() + again < statement.deadlineNanos;
    if (!worthAnother) {
      result.refused++;
      return;
    }
    statement.resent = true;
    queue.after(again, () -> submit(statement));
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
      double slowdown = 1 + LOSS_PER_EXCESS * excess;
      long service = (long) (SERVICE * (0.5 + random.nextDouble()) * slowdown);
      queue.after(
          service,
          () -> {
            running--;
            queue.after(HOP, () -> answered(statement));
            serve();
          });
    }
  }

  private void answered(Statement statement) {
    boolean inTime = queue.now() <= statement.deadlineNanos;
    result.answered(statement.caller, inTime, queue.now() - statement.bornNanos);
    if (limits.isPresent()) {
      long latency = queue.now() - statement.sentNanos;
      perform(limiters.get(statement.proxy).complete(false, latency, true, queue.now()));
    }
  }

  private static final class Statement {
    final int proxy;
    final int caller;
    final long bornNanos;
    final long deadlineNanos;
    long sentNanos;
    boolean resent;

    Statement(int proxy, int caller, long bornNanos, long deadlineNanos) {
      this.proxy = proxy;
      this.caller = caller;
      this.bornNanos = bornNanos;
      this.deadlineNanos = deadlineNanos;
    }
  }

  /** What the model counted. */
  static final class Result {
    private static final int DIGITS = 3;
    final long[] offered = new long[2];
    final long[] inTime = new long[2];
    long late;
    long refused;
    long seconds;
    final Histogram answeredNanos = new Histogram(DIGITS);

    void answered(int caller, boolean met, long nanos) {
      answeredNanos.recordValue(nanos);
      if (met) {
        inTime[caller == 0 ? 0 : 1]++;
      } else {
        late++;
      }
    }

    double goodput() {
      return (inTime[0] + inTime[1]) / (double) seconds;
    }

    /** Share of the nine ordinary callers' statements that were answered in time. */
    double othersShare() {
      return 100.0 * inTime[1] / offered[1];
    }

    /** Share of the answers that came after the deadline. */
    double lateShare() {
      return 100.0 * late / Math.max(1, late + inTime[0] + inTime[1]);
    }
  }
}
