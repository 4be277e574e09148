package org.alderyard.proxy.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;

/**
 * The limiters of all servers, for use by the worker threads of a proxy.
 *
 * <p>Thread-safe. The lock is this object; it is acquired before the lock of {@link
 * org.alderyard.proxy.lease.LeaseTable}, and no other lock is acquired while it is held. Futures
 * are completed by the executor after the lock is released.
 */
public final class ServerLimiters {
  private final MonotonicClock clock;
  private final ConcurrencyLimit.Factory limits;
  private final int queueCapacity;
  private final Executor executor;
  private final RefusalListener listener;
  // Guarded by this.
  private final Map<ServerId, ServerLimiter<CompletableFuture<Permit>>> limiters = new HashMap<>();
  // Guarded by this.
  private final Map<ServerId, Integer> peakQueued = new HashMap<>();

  /** Creates an empty table. The limiter of each server gets a queue of the given capacity. */
  public ServerLimiters(
      MonotonicClock clock,
      ConcurrencyLimit.Factory limits,
      int queueCapacity,
      Executor executor,
      RefusalListener listener) {
    this.clock = Objects.requireNonNull(clock);
    this.limits = Objects.requireNonNull(limits);
    this.queueCapacity = queueCapacity;
    this.executor = Objects.requireNonNull(executor);
    this.listener = Objects.requireNonNull(listener);
  }

  /**
   * Requests a permit to run a statement.
   *
   * @param server the server
   * @param slots the number of statements that the server runs concurrently
   * @param primary whether the server is the primary
   * @return completes with a permit, which the caller must end, when the statement may run. Fails
   *     with {@code NOT_RUN} as soon as the statement is refused, with the code {@code
   *     DEADLINE_EXCEEDED} if its deadline came near while it was queued, and {@code OVERLOADED}
   *     otherwise
   */
  public CompletableFuture<Permit> acquire(
      ServerId server, int slots, boolean primary, Flow flow, boolean write, long deadlineNanos) {
    CompletableFuture<Permit> result = new CompletableFuture<>();
    AdmissionResult<CompletableFuture<Permit>> admission;
    synchronized (this) {
      ServerLimiter<CompletableFuture<Permit>> limiter = limiter(server, slots);
      limiter.setPrimary(primary);
      admission =
          limiter.submit(
              new QueuedStatement<>(flow, write, deadlineNanos, result), clock.nowNanos());
      peakQueued.merge(server, limiter.queued(), Math::max);
    }
    apply(server, admission);
    return result;
  }

  /** Returns how many further reads the server accepts, with the server treated as the primary. */
  public synchronized int readCapacity(ServerId server, int slots) {
    ServerLimiter<CompletableFuture<Permit>> limiter = limiter(server, slots);
    limiter.setPrimary(true);
    return limiter.readCapacity();
  }

  /**
   * Reserves a place for a read that the primary has no capacity for, and returns the delay until
   * then, in milliseconds.
   *
   * @param earliestMillis the minimum delay
   */
  public synchronized long reserveReturnMillis(
      ServerId primary, int slots, long earliestMillis, long deadlineNanos) {
    return limiter(primary, slots)
        .reserveReturnMillis(
            TimeUnit.MILLISECONDS.toNanos(earliestMillis), deadlineNanos, clock.nowNanos());
  }

  /**
   * Refuses all queued statements that can no longer meet their deadlines. Must be called every few
   * milliseconds.
   */
  public void sweep() {
    Map<ServerId, AdmissionResult<CompletableFuture<Permit>>> results = new HashMap<>();
    synchronized (this) {
      long now = clock.nowNanos();
      limiters.forEach((server, limiter) -> results.put(server, limiter.sweep(now)));
    }
    results.forEach(this::apply);
  }

  /** Cancels a queued statement. Has no effect if the statement was started. */
  public void cancel(ServerId server, CompletableFuture<Permit> queuedPermit) {
    boolean cancelled;
    synchronized (this) {
      ServerLimiter<CompletableFuture<Permit>> limiter = limiters.get(server);
      cancelled = limiter != null && limiter.cancel(queuedPermit);
    }
    if (cancelled) {
      queuedPermit.cancel(false);
    }
  }

  /** Returns the maximum number of statements that were queued for a server since the last call. */
  public synchronized int takePeakQueued(ServerId server) {
    ServerLimiter<CompletableFuture<Permit>> limiter = limiters.get(server);
    if (limiter == null) {
      return 0;
    }
    int now = limiter.queued();
    Integer peak = peakQueued.put(server, now);
    return peak == null ? now : Math.max(peak, now);
  }

  /** Returns the number of queued statements of all servers. */
  public synchronized int queued() {
    return limiters.values().stream().mapToInt(ServerLimiter::queued).sum();
  }

  /** Returns the number of statements in flight on all servers. */
  public synchronized int inFlight() {
    return limiters.values().stream().mapToInt(ServerLimiter::inFlight).sum();
  }

  private ServerLimiter<CompletableFuture<Permit>> limiter(ServerId server, int slots) {
    return limiters.computeIfAbsent(
        server, id -> new ServerLimiter<>(limits.create(id, slots), queueCapacity));
  }

  private void complete(ServerId server, boolean write, long latencyNanos, boolean answered) {
    update(
        server,
        () -> limiters.get(server).complete(write, latencyNanos, answered, clock.nowNanos()));
  }

  private void update(ServerId server, Supplier<AdmissionResult<CompletableFuture<Permit>>> event) {
    AdmissionResult<CompletableFuture<Permit>> admission;
    synchronized (this) {
      admission = event.get();
    }
    apply(server, admission);
  }

  private void apply(ServerId server, AdmissionResult<CompletableFuture<Permit>> admission) {
    List<QueuedStatement<CompletableFuture<Permit>>> started = new ArrayList<>(admission.started());
    for (QueuedStatement<CompletableFuture<Permit>> statement : started) {
      Permit permit = new Permit(server, statement.write(), clock.nowNanos());
      executor.execute(
          () -> {
            if (!statement.work().complete(permit)) {
              permit.endUnsent();
            }
          });
    }
    for (AdmissionResult.Refused<CompletableFuture<Permit>> refused : admission.refused()) {
      listener.refused(server, refused.statement().flow(), refused.reason());
      executor.execute(
          () -> refused.statement().work().completeExceptionally(refusalError(refused)));
    }
  }

  /**
   * Returns the error of a refusal. The outcome is NOT_RUN because nothing is sent without a
   * permit.
   */
  private static AlderyardException refusalError(AdmissionResult.Refused<?> refused) {
    boolean deadlineNear = refused.reason() == RefusalReason.DEADLINE_NEAR;
    return AlderyardException.notRun(
        deadlineNear ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.OVERLOADED,
        "the server is busy: " + refused.reason(),
        refused.retryAfterMillis());
  }

  /** Receives a notification for each refused statement. */
  @FunctionalInterface
  public interface RefusalListener {

    /** Called for each refusal. Must not block. */
    void refused(ServerId server, Flow flow, RefusalReason reason);
  }

  /**
   * The permission to run one statement on one server. Only the first call to end it has an effect.
   */
  public final class Permit {
    private final ServerId server;
    private final boolean write;
    private final long startedNanos;
    private final AtomicBoolean ended = new AtomicBoolean();

    private Permit(ServerId server, boolean write, long startedNanos) {
      this.server = server;
      this.write = write;
      this.startedNanos = startedNanos;
    }

    /** Ends the statement. The latency, and whether the server answered, adjust the limit. */
    public void end(boolean answered) {
      if (ended.compareAndSet(false, true)) {
        complete(server, write, Math.max(1, clock.nowNanos() - startedNanos), answered);
      }
    }

    /** Ends a statement that was not sent. The limit is not adjusted. */
    public void endUnsent() {
      if (ended.compareAndSet(false, true)) {
        complete(server, write, 0, true);
      }
    }
  }
}
