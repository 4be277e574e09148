package org.alderyard.proxy.limit;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

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
 * #readRoom()} returns the remaining number.
 *
 * <p>Not thread-safe; {@link Gates} provides the locking.
 *
 * @param <T> the type of the work item
 */
public final class ServerGate<T> {
  private static final double SERVICE_TIME_SMOOTHING = 0.1;

  /** The number of mean deviations added to the mean service time to estimate a slow statement. */
  private static final double SERVICE_TIME_DEVIATIONS = 3;

  /** The maximum number of queued reads at a primary, per read that may run concurrently. */
  private static final int QUEUED_READS_FACTOR = 2;

  private static final long MIN_RETRY_AFTER_MILLIS = 20;

  private final ConcurrencyLimit limit;
  private final int queueCapacity;
  private final FairQueue<T> writes = new FairQueue<>();
  private final FairQueue<T> reads = new FairQueue<>();
  private boolean primary;
  private int writesInFlight;
  private int readsInFlight;
  private double meanServiceNanos;
  private double deviationNanos;

  /** Creates a limiter with no statements. */
  public ServerGate(ConcurrencyLimit limit, int queueCapacity) {
    this.limit = Objects.requireNonNull(limit);
    this.queueCapacity = queueCapacity;
  }

  /** Sets whether the server is the primary. Reads at a primary leave capacity for writes. */
  public void primary(boolean isPrimary) {
    this.primary = isPrimary;
  }

  /** Queues or refuses a new statement, and starts queued statements if capacity is available. */
  public GateChange<T> enter(Entrant<T> entrant, long nowNanos) {
    GateChange<T> change = new GateChange<>();
    FairQueue<T> queue = queueOf(entrant);
    long waitNanos = expectedWaitNanos(entrant, queue);
    boolean missesDeadline = nowNanos + waitNanos + slowServiceNanos() > entrant.deadlineNanos();
    if (missesDeadline) {
      change.refuse(entrant, RefusalReason.WOULD_MISS_DEADLINE, retryAfterMillis());
      return change;
    }
    if (queued() >= queueCapacity && !displaceQueued(entrant, queue, change)) {
      change.refuse(entrant, RefusalReason.QUEUE_FULL, retryAfterMillis());
      return change;
    }
    queue.add(entrant);
    startQueued(nowNanos, change);
    return change;
  }

  /**
   * Records the end of a started statement and starts queued statements.
   *
   * @param write whether the statement was a write
   * @param latencyNanos the time the server took, in nanoseconds; 0 if the statement was not sent
   * @param answered whether the server answered
   */
  public GateChange<T> leave(boolean write, long latencyNanos, boolean answered, long nowNanos) {
    if (latencyNanos > 0) {
      limit.sample(latencyNanos, inFlight(), answered);
      recordServiceTime(latencyNanos);
    }
    if (write) {
      writesInFlight--;
    } else {
      readsInFlight--;
    }
    GateChange<T> change = new GateChange<>();
    startQueued(nowNanos, change);
    return change;
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
  public GateChange<T> sweep(long nowNanos) {
    GateChange<T> change = new GateChange<>();
    for (FairQueue<T> queue : List.of(writes, reads)) {
      queue
          .removeIf(entrant -> wouldMissDeadline(entrant, nowNanos))
          .forEach(e -> change.refuse(e, RefusalReason.DEADLINE_NEAR, retryAfterMillis()));
    }
    return change;
  }

  /** Removes a queued statement. Returns whether the statement was queued. */
  public boolean cancel(T work) {
    return !writes.removeIf(entrant -> entrant.work() == work).isEmpty()
        || !reads.removeIf(entrant -> entrant.work() == work).isEmpty();
  }

  /** Returns how many further reads a primary accepts. May be negative. */
  public int readRoom() {
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

  private FairQueue<T> queueOf(Entrant<T> entrant) {
    return entrant.write() ? writes : reads;
  }

  /** Returns the expected queueing time of a new statement, based on the mean service time. */
  private long expectedWaitNanos(Entrant<T> entrant, FairQueue<T> queue) {
    int ahead = queue.maxServedBefore(entrant.flow()) + (entrant.write() ? 0 : writes.size());
    int excess = Math.max(0, inFlight() - limit.current() + 1);
    return (long) ((ahead + excess) * meanServiceNanos / limit.current());
  }

  /**
   * Refuses the newest statement of the longest flow if the flow of the new statement is shorter.
   * Returns whether a statement was refused.
   */
  private boolean displaceQueued(Entrant<T> entrant, FairQueue<T> queue, GateChange<T> change) {
    Optional<Entrant<T>> displaced = queue.displaceFor(entrant.flow());
    displaced.ifPresent(e -> change.refuse(e, RefusalReason.DISPLACED, retryAfterMillis()));
    return displaced.isPresent();
  }

  private void startQueued(long nowNanos, GateChange<T> change) {
    while (inFlight() < limit.current()) {
      Optional<Entrant<T>> next = pollNext();
      if (next.isEmpty()) {
        return;
      }
      Entrant<T> entrant = next.get();
      if (wouldMissDeadline(entrant, nowNanos)) {
        change.refuse(entrant, RefusalReason.DEADLINE_NEAR, retryAfterMillis());
        continue;
      }
      if (entrant.write()) {
        writesInFlight++;
      } else {
        readsInFlight++;
      }
      change.start(entrant);
    }
  }

  private Optional<Entrant<T>> pollNext() {
    Optional<Entrant<T>> write = writes.poll();
    if (write.isPresent()) {
      return write;
    }
    return readsInFlight < maxConcurrentReads() ? reads.poll() : Optional.empty();
  }

  private int maxConcurrentReads() {
    return primary ? Math.max(1, limit.current() - 1) : limit.current();
  }

  private boolean wouldMissDeadline(Entrant<T> entrant, long nowNanos) {
    return nowNanos + slowServiceNanos() > entrant.deadlineNanos();
  }

  private long retryAfterMillis() {
    double drainNanos = (queued() + 1) * meanServiceNanos / limit.current();
    return Math.max(MIN_RETRY_AFTER_MILLIS, TimeUnit.NANOSECONDS.toMillis((long) drainNanos));
  }
}
