package org.alderyard.proxy.limit;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Lets statements to one server: some at once, some in a bounded fair queue, the rest not at all.
 *
 * <p>Guards against the collapse under overload, which shows as a server that works at full speed
 * on statements whose callers have given up. A statement that would miss its deadline is refused
 * when it comes, and one whose time runs out while it waits is refused before it is sent: what runs
 * can still be of use. Each refusal is certain not to have run, since nothing was sent.
 *
 * <p>Writes go first, because only the primary can run them. Reads at a primary keep one slot free
 * for writes and may queue only a little: a router sees it in {@link #readRoom()}.
 *
 * <p>Not safe for several threads; {@link Gates} holds its lock.
 *
 * @param <T> the type of the work
 */
public final class ServerGate<T> {
  private static final double SERVICE_SMOOTHING = 0.1;

  /** Mean deviations above the mean that a statement is expected to take. */
  private static final double DEVIATIONS = 3;

  /** Reads that may queue at a primary, for each one that may run. */
  private static final int QUEUED_READS_FACTOR = 2;

  private static final long MIN_RETRY_MILLIS = 20;

  private final ConcurrencyLimit limit;
  private final int queueCapacity;
  private final FairQueue<T> writes = new FairQueue<>();
  private final FairQueue<T> reads = new FairQueue<>();
  private boolean primary;
  private int writesInFlight;
  private int readsInFlight;
  private double serviceNanos;
  private double deviationNanos;

  /** Creates an open gate. */
  public ServerGate(ConcurrencyLimit limit, int queueCapacity) {
    this.limit = Objects.requireNonNull(limit);
    this.queueCapacity = queueCapacity;
  }

  /** Says whether the server is the primary, so that reads leave room for writes. */
  public void primary(boolean isPrimary) {
    this.primary = isPrimary;
  }

  /** Takes in a new statement. */
  public GateChange<T> enter(Entrant<T> entrant, long nowNanos) {
    GateChange<T> change = new GateChange<>();
    FairQueue<T> queue = queueOf(entrant);
    long wait = waitNanos(entrant, queue);
    boolean late = nowNanos + wait + slowServiceNanos() > entrant.deadlineNanos();
    if (late) {
      change.refuse(entrant, RefusalReason.WOULD_MISS_DEADLINE, retryMillis());
      return change;
    }
    if (queued() >= queueCapacity && !makeRoom(entrant, queue, change)) {
      change.refuse(entrant, RefusalReason.QUEUE_FULL, retryMillis());
      return change;
    }
    queue.add(entrant);
    startWaiting(nowNanos, change);
    return change;
  }

  /**
   * Takes in the end of a statement that was started.
   *
   * @param write whether it was a write
   * @param latencyNanos how long the server took; 0 if the statement was not sent
   * @param answered whether the server gave an answer
   */
  public GateChange<T> leave(boolean write, long latencyNanos, boolean answered, long nowNanos) {
    if (latencyNanos > 0) {
      limit.sample(latencyNanos, inFlight(), answered);
      learn(latencyNanos);
    }
    if (write) {
      writesInFlight--;
    } else {
      readsInFlight--;
    }
    GateChange<T> change = new GateChange<>();
    startWaiting(nowNanos, change);
    return change;
  }

  private void learn(long latencyNanos) {
    if (serviceNanos == 0) {
      serviceNanos = latencyNanos;
      return;
    }
    double difference = latencyNanos - serviceNanos;
    serviceNanos += SERVICE_SMOOTHING * difference;
    deviationNanos += SERVICE_SMOOTHING * (Math.abs(difference) - deviationNanos);
  }

  /**
   * What a statement takes at worst, but for a few: those that fail late cost a slot for nothing.
   */
  private long slowServiceNanos() {
    return (long) (serviceNanos + DEVIATIONS * deviationNanos);
  }

  /** Refuses what waits and cannot make its deadline any more. */
  public GateChange<T> sweep(long nowNanos) {
    GateChange<T> change = new GateChange<>();
    for (FairQueue<T> queue : List.of(writes, reads)) {
      queue
          .removeIf(entrant -> tooLate(entrant, nowNanos))
          .forEach(e -> change.refuse(e, RefusalReason.DEADLINE_NEAR, retryMillis()));
    }
    return change;
  }

  /** Removes a statement that waits, if its caller is gone. */
  public boolean cancel(T work) {
    return !writes.removeIf(entrant -> entrant.work() == work).isEmpty()
        || !reads.removeIf(entrant -> entrant.work() == work).isEmpty();
  }

  /** Returns how many more reads a primary takes now. */
  public int readRoom() {
    int slots = readSlots();
    return slots * (1 + QUEUED_READS_FACTOR) - readsInFlight - reads.size();
  }

  /** Returns the statements that run. */
  public int inFlight() {
    return writesInFlight + readsInFlight;
  }

  /** Returns the statements that wait. */
  public int queued() {
    return writes.size() + reads.size();
  }

  /** Returns the limit of statements that run at once. */
  public int limit() {
    return limit.current();
  }

  private FairQueue<T> queueOf(Entrant<T> entrant) {
    return entrant.write() ? writes : reads;
  }

  /** How long a new statement waits until it is started, if all goes on as of late. */
  private long waitNanos(Entrant<T> entrant, FairQueue<T> queue) {
    int ahead = queue.aheadOf(entrant.flow()) + (entrant.write() ? 0 : writes.size());
    int busy = Math.max(0, inFlight() - limit.current() + 1);
    return (long) ((ahead + busy) * serviceNanos / limit.current());
  }

  /** A full queue is shared: the longest line gives way to a caller with a shorter one. */
  private boolean makeRoom(Entrant<T> entrant, FairQueue<T> queue, GateChange<T> change) {
    Optional<Entrant<T>> displaced = queue.displaceFor(entrant.flow());
    displaced.ifPresent(e -> change.refuse(e, RefusalReason.DISPLACED, retryMillis()));
    return displaced.isPresent();
  }

  private void startWaiting(long nowNanos, GateChange<T> change) {
    while (inFlight() < limit.current()) {
      Optional<Entrant<T>> next = next();
      if (next.isEmpty()) {
        return;
      }
      Entrant<T> entrant = next.get();
      if (tooLate(entrant, nowNanos)) {
        change.refuse(entrant, RefusalReason.DEADLINE_NEAR, retryMillis());
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

  private Optional<Entrant<T>> next() {
    Optional<Entrant<T>> write = writes.poll();
    if (write.isPresent()) {
      return write;
    }
    return readsInFlight < readSlots() ? reads.poll() : Optional.empty();
  }

  private int readSlots() {
    return primary ? Math.max(1, limit.current() - 1) : limit.current();
  }

  private boolean tooLate(Entrant<T> entrant, long nowNanos) {
    return nowNanos + slowServiceNanos() > entrant.deadlineNanos();
  }

  private long retryMillis() {
    double drained = (queued() + 1) * serviceNanos / limit.current();
    return Math.max(MIN_RETRY_MILLIS, TimeUnit.NANOSECONDS.toMillis((long) drained));
  }
}
