package org.alderyard.proxy.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;

/**
 * The gates of all servers, for the workers of a proxy.
 *
 * <p>Lock: the object itself, a leaf. Futures are completed by the executor after it is released.
 */
public final class Gates {
  private final MonotonicClock clock;
  private final ConcurrencyLimit.Factory limits;
  private final int queueCapacity;
  private final Executor executor;
  private final RefusalListener listener;
  // Guarded by this.
  private final Map<ServerId, ServerGate<CompletableFuture<Permit>>> gates = new HashMap<>();
  // Guarded by this.
  private final Map<ServerId, Integer> peakQueued = new HashMap<>();

  /** Creates a table of gates, each with a queue of the given capacity. */
  public Gates(
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
   * Asks to run a statement.
   *
   * @param server the server
   * @param slots the statements that the server runs at once
   * @param primary whether the server is the primary
   * @return a permit once the statement may run, to be ended by the caller; fails with {@code
   *     OVERLOADED} and {@code NOT_RUN} as soon as it is known that it will not run
   */
  public CompletableFuture<Permit> enter(
      ServerId server, int slots, boolean primary, Flow flow, boolean write, long deadlineNanos) {
    CompletableFuture<Permit> result = new CompletableFuture<>();
    GateChange<CompletableFuture<Permit>> change;
    synchronized (this) {
      ServerGate<CompletableFuture<Permit>> gate = gate(server, slots);
      gate.primary(primary);
      change = gate.enter(new Entrant<>(flow, write, deadlineNanos, result), clock.nowNanos());
      peakQueued.merge(server, gate.queued(), Math::max);
    }
    perform(server, change);
    return result;
  }

  /** Returns how many more reads the server takes now if it is the primary. */
  public synchronized int readRoom(ServerId server, int slots) {
    ServerGate<CompletableFuture<Permit>> gate = gate(server, slots);
    gate.primary(true);
    return gate.readRoom();
  }

  /** Refuses at all gates what cannot make its deadline any more; to be called every few ms. */
  public void sweep() {
    Map<ServerId, GateChange<CompletableFuture<Permit>>> changes = new HashMap<>();
    synchronized (this) {
      long now = clock.nowNanos();
      gates.forEach((server, gate) -> changes.put(server, gate.sweep(now)));
    }
    changes.forEach(this::perform);
  }

  /** Gives up a statement that waits; does nothing if it was started. */
  public void cancel(ServerId server, CompletableFuture<Permit> waiting) {
    boolean cancelled;
    synchronized (this) {
      ServerGate<CompletableFuture<Permit>> gate = gates.get(server);
      cancelled = gate != null && gate.cancel(waiting);
    }
    if (cancelled) {
      waiting.cancel(false);
    }
  }

  /** Returns the most statements that waited for a server since the last call. */
  public synchronized int takePeakQueued(ServerId server) {
    ServerGate<CompletableFuture<Permit>> gate = gates.get(server);
    if (gate == null) {
      return 0;
    }
    int now = gate.queued();
    Integer peak = peakQueued.put(server, now);
    return peak == null ? now : Math.max(peak, now);
  }

  /** Returns the statements that wait at all gates. */
  public synchronized int queued() {
    return gates.values().stream().mapToInt(ServerGate::queued).sum();
  }

  /** Returns the statements that run at all gates. */
  public synchronized int inFlight() {
    return gates.values().stream().mapToInt(ServerGate::inFlight).sum();
  }

  private ServerGate<CompletableFuture<Permit>> gate(ServerId server, int slots) {
    return gates.computeIfAbsent(
        server, id -> new ServerGate<>(limits.create(id, slots), queueCapacity));
  }

  private void leave(ServerId server, boolean write, long latencyNanos, boolean answered) {
    change(server, () -> gates.get(server).leave(write, latencyNanos, answered, clock.nowNanos()));
  }

  private void change(ServerId server, Supplier<GateChange<CompletableFuture<Permit>>> event) {
    GateChange<CompletableFuture<Permit>> change;
    synchronized (this) {
      change = event.get();
    }
    perform(server, change);
  }

  private void perform(ServerId server, GateChange<CompletableFuture<Permit>> change) {
    List<Entrant<CompletableFuture<Permit>>> started = new ArrayList<>(change.started());
    for (Entrant<CompletableFuture<Permit>> entrant : started) {
      Permit permit = new Permit(server, entrant.write(), clock.nowNanos());
      executor.execute(
          () -> {
            if (!entrant.work().complete(permit)) {
              permit.notSent();
            }
          });
    }
    for (GateChange.Refused<CompletableFuture<Permit>> refused : change.refused()) {
      listener.refused(server, refused.entrant().flow(), refused.reason());
      executor.execute(() -> refused.entrant().work().completeExceptionally(error(refused)));
    }
  }

  /** Nothing is sent before a permit is given, so a refused statement did not run. */
  private static AlderyardException error(GateChange.Refused<?> refused) {
    boolean late = refused.reason() == RefusalReason.DEADLINE_NEAR;
    return AlderyardException.notRun(
        late ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.OVERLOADED,
        "the server is busy: " + refused.reason(),
        refused.retryAfterMillis());
  }

  /** Is told of each refusal. */
  @FunctionalInterface
  public interface RefusalListener {

    /** Takes in a refusal; must not block. */
    void refused(ServerId server, Flow flow, RefusalReason reason);
  }

  /** The right to run one statement at one server; ended exactly once. */
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

    /** Ends the statement; whether the server answered is a sign for the limit. */
    public void end(boolean answered) {
      if (ended.compareAndSet(false, true)) {
        leave(server, write, Math.max(1, clock.nowNanos() - startedNanos), answered);
      }
    }

    /** Ends a statement that was not sent. */
    public void notSent() {
      if (ended.compareAndSet(false, true)) {
        leave(server, write, 0, true);
      }
    }
  }
}
