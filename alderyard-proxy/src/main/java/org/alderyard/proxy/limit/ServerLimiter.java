package org.alderyard.proxy.limit;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Limits the statements sent to one server: runs a bounded number concurrently, queues a bounded
 * number fairly and refuses the rest.
 *
 * <p>Without a limit an overloaded server spends its capacity on statements whose callers have
 * timed out. A statement that would miss its deadline is therefore refused on arrival, and a queued
 * statement is refused before it is sent once it can no longer meet its deadline. A refused
 * statement has certainly not run, because nothing was sent.
 *
 * <p>Writes are started before reads, because only the primary can run them. At a primary, reads
 * leave one slot free for writes, unless the limit is 1, and only a few of them may queue; {@link
 * #readCapacity()} returns the remaining number.
 *
 * <p>Not thread-safe; {@link ServerLimiters} provides the locking.
 *
 * @param <T> the type of the work item
 */
public final class ServerLimiter<T> {
  private static final double SERVICE_TIME_SMOOTHING = 0.1;

  /** The number of mean deviations added to the mean service time to estimate a slow statement. */
  private static final double SERVICE_TIME_DEVIATIONS = 3;

  /** The maximum number of queued reads at a primary, per read that may run concurrently. */
  private static final int QUEUED_READS_FACTOR = 2;

  private final ConcurrencyLimit limit;
  private final int queueCapacity;
  private final FairQueue<T> writes = new FairQueue<>();
  private final FairQueue<T> reads = new FairQueue<>();
  private boolean primary;
  private int writesInFlight;
  private int readsInFlight;
  private double meanServiceNanos;
  private double deviationNanos;
  private final ReturnSchedule returns = new ReturnSchedule();

  /** Creates a limiter with no statements. */
  public ServerLimiter(ConcurrencyLimit limit, int queueCapacity) {
    this.limit = Objects.requireNonNull(limit);
    this.queueCapacity = queueCapacity;
  }

  /** Sets whether the server is the primary. Reads at a primary leave capacity for writes. */
  public void setPrimary(boolean isPrimary) {
    this.primary = isPrimary;
  }

  /** Queues or refuses a new statement, and starts queued statements if capacity is available. */
  public AdmissionResult<T> submit(QueuedStatement<T> statement, long nowNanos) {
    AdmissionResult<T> result = new AdmissionResult<>();
    FairQueue<T> queue = queueOf(statement);
    long waitNanos = expectedWaitNanos(statement, queue);
    boolean missesDeadline = nowNanos + waitNanos + slowServiceNanos() > statement.deadlineNanos();
    if (missesDeadline) {
      result.refuse(
          statement, RefusalReason.WOULD_MISS_DEADLINE, retryAfterMillis(statement, nowNanos));
      return result;
    }
    if (queued() >= queueCapacity && !displaceQueued(statement, queue, nowNanos, result)) {
      result.refuse(statement, RefusalReason.QUEUE_FULL, retryAfterMillis(statement, nowNanos));
      return result;
    }
    queue.add(statement);
    startQueued(nowNanos, result);
    return result;
  }

  /**
   * Records the end of a started statement and starts queued statements.
   *
   * @param write whether the statement was a write
   * @param latencyNanos the time the server took, in nanoseconds; 0 if the statement was not sent
   * @param answered whether the server answered
   */
  public AdmissionResult<T> complete(
      boolean write, long latencyNanos, boolean answered, long nowNanos) {
    if (latencyNanos > 0) {
      limit.sample(latencyNanos, inFlight(), answered);
      recordServiceTime(latencyNanos);
    }
    if (write) {
      writesInFlight--;
    } else {
      readsInFlight--;
    }
    AdmissionResult<T> result = new AdmissionResult<>();
    startQueued(nowNanos, result);
    return result;
  }

  private void recordServiceTime(long latencyNanos) {
    if (meanServiceNanos == 0) {
      meanServiceNanos = latencyNanos;
      return;
    }
    double difference = latencyNanos - meanServiceNanos;
    meanServiceNanos += SERVICE_TIME_SMOOTHING * difference;
    deviationNanos += SERVICE_TIME_SMOOTHING * (Math.abs(difference) - deviationNanos);
  }

  /**
   * Returns an upper estimate of the service time, which few statements exceed. A statement that
   * fails late occupies a slot without a result.
   */
  private long slowServiceNanos() {
    return (long) (meanServiceNanos + SERVICE_TIME_DEVIATIONS * deviationNanos);
  }

  /** Refuses queued statements that can no longer meet their deadlines. */
  public AdmissionResult<T> sweep(long nowNanos) {
    AdmissionResult<T> result = new AdmissionResult<>();
    for (FairQueue<T> queue : List.of(writes, reads)) {
      queue
          .removeIf(statement -> wouldMissDeadline(statement, nowNanos))
          .forEach(
              e -> result.refuse(e, RefusalReason.DEADLINE_NEAR, retryAfterMillis(e, nowNanos)));
    }
    return result;
  }

  /** Removes a queued statement. Returns whether the statement was queued. */
  public boolean cancel(T work) {
    return !writes.removeIf(statement -> statement.work() == work).isEmpty()
        || !reads.removeIf(statement -> statement.work() == work).isEmpty();
  }

  /** Returns how many further reads a primary accepts. May be negative. */
  public int readCapacity() {
    int concurrentReads = maxConcurrentReads();
    return concurrentReads * (1 + QUEUED_READS_FACTOR) - readsInFlight - reads.size();
  }

  /** Returns the number of statements in flight. */
  public int inFlight() {
    return writesInFlight + readsInFlight;
  }

  /** Returns the number of queued statements. */
  public int queued() {
    return writes.size() + reads.size();
  }

  /** Returns the maximum number of concurrent statements. */
  public int limit() {
    return limit.current();
  }

  private FairQueue<T> queueOf(QueuedStatement<T> statement) {
    return statement.write() ? writes : reads;
  }

  /** Returns the expected queueing time of a new statement, based on the mean service time. */
  private long expectedWaitNanos(QueuedStatement<T> statement, FairQueue<T> queue) {
    int ahead = queue.maxServedBefore(statement.flow()) + (statement.write() ? 0 : writes.size());
    int excess = Math.max(0, inFlight() - limit.current() + 1);
    return (long) ((ahead + excess) * meanServiceNanos / limit.current());
  }

  /**
   * Refuses the newest statement of the longest flow if the flow of the new statement is shorter.
   * Returns whether a statement was refused.
   */
  private boolean displaceQueued(
      QueuedStatement<T> statement, FairQueue<T> queue, long nowNanos, AdmissionResult<T> result) {
    Optional<QueuedStatement<T>> displaced = queue.displaceFor(statement.flow());
    displaced.ifPresent(
        e -> result.refuse(e, RefusalReason.DISPLACED, retryAfterMillis(e, nowNanos)));
    return displaced.isPresent();
  }

  private void startQueued(long nowNanos, AdmissionResult<T> result) {
    while (inFlight() < limit.current()) {
      Optional<QueuedStatement<T>> next = pollNext();
      if (next.isEmpty()) {
        return;
      }
      QueuedStatement<T> statement = next.get();
      if (wouldMissDeadline(statement, nowNanos)) {
        result.refuse(
            statement, RefusalReason.DEADLINE_NEAR, retryAfterMillis(statement, nowNanos));
        continue;
      }
      if (statement.write()) {
        writesInFlight++;
      } else {
        readsInFlight++;
      }
      result.start(statement);
    }
  }

  private Optional<QueuedStatement<T>> pollNext() {
    Optional<QueuedStatement<T>> write = writes.poll();
    if (write.isPresent()) {
      return write;
    }
    return readsInFlight < maxConcurrentReads() ? reads.poll() : Optional.empty();
  }

  private int maxConcurrentReads() {
    return primary ? Math.max(1, limit.current() - 1) : limit.current();
  }

  private boolean wouldMissDeadline(QueuedStatement<T> statement, long nowNanos) {
    return nowNanos + slowServiceNanos() > statement.deadlineNanos();
  }

  private long retryAfterMillis(QueuedStatement<T> refused, long nowNanos) {
    return reserveReturnMillis(0, refused.deadlineNanos(), nowNanos);
  }

  /**
   * Reserves a place for a statement that returns later, and returns the delay until then.
   *
   * @param earliestNanos the minimum delay, in nanoseconds
   */
  public long reserveReturnMillis(long earliestNanos, long deadlineNanos, long nowNanos) {
    long intervalNanos = (long) (meanServiceNanos / limit.current());
    return returns.nextDelayMillis(
        nowNanos,
        Math.max(earliestNanos, (queued() + 1) * intervalNanos),
        intervalNanos,
        deadlineNanos - nowNanos);
  }
}
