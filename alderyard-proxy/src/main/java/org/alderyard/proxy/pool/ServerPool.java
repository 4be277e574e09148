package org.alderyard.proxy.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.PooledConnection;
import org.alderyard.common.time.MonotonicClock;

/** The connections to one start of one server. Not safe for several threads. */
final class ServerPool<C extends PooledConnection> {
  /**
   * The first pause after a server refused a connection as one too many. Servers notice within
   * seconds that connections are dead, and this adds little to that.
   */
  private static final long FIRST_REFUSED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long MAX_REFUSED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * A connection that is used for so many usual times is held up: by a transaction that rests, or
   * by an answer that does not come.
   */
  private static final double HELD_UP_USES = 4;

  /** And not before this, so that common statements, which differ in their work, are not. */
  private static final long MIN_HELD_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The weight of a new use in the average: about the last ten count. */
  private static final double USE_WEIGHT = 0.1;

  private final long incarnation;
  private final Deque<C> idle = new ArrayDeque<>();
  // By the time since when each is in use.
  private final Map<C, Long> inUse = new HashMap<>();
  private final List<Waiter<C>> waiting = new ArrayList<>();
  private int opening;
  private int peakInUse;
  private double meanUseNanos;
  private long refusedPauseNanos;
  private long closedUntilNanos;
  private final MonotonicClock clock;
  private final BusyMeter busy;

  ServerPool(long incarnation, MonotonicClock clock) {
    this.incarnation = incarnation;
    this.clock = clock;
    this.busy = new BusyMeter(clock);
  }

  long incarnation() {
    return incarnation;
  }

  int open() {
    return idle.size() + inUse.size() + opening;
  }

  /** Returns after which time a connection counts as held up, by how long they are used usually. */
  long heldUpNanos() {
    return Math.max(MIN_HELD_UP_NANOS, (long) (HELD_UP_USES * meanUseNanos));
  }

  /** Returns how many connections have been in use for far longer than usual. */
  int heldUp() {
    long now = clock.nowNanos();
    long limit = heldUpNanos();
    return (int) inUse.values().stream().filter(since -> now - since >= limit).count();
  }

  /** Takes the connection that was used last, so that those beyond the need stay idle. */
  Optional<C> takeIdle() {
    while (!idle.isEmpty()) {
      C connection = idle.removeLast();
      if (connection.usable()) {
        use(connection);
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  private void use(C connection) {
    inUse.put(connection, clock.nowNanos());
    busy.changed(demand());
    peakInUse = Math.max(peakInUse, inUse.size() + opening);
  }

  void beginOpening() {
    opening++;
    busy.changed(demand());
    peakInUse = Math.max(peakInUse, inUse.size() + opening);
  }

  void openingFailed() {
    opening--;
    busy.changed(demand());
  }

  /** The server takes no more connections; none is opened for a while. */
  void openingRefused(long nowNanos) {
    refusedPauseNanos =
        Math.min(
            MAX_REFUSED_PAUSE_NANOS, Math.max(FIRST_REFUSED_PAUSE_NANOS, 2 * refusedPauseNanos));
    closedUntilNanos = nowNanos + refusedPauseNanos;
  }

  /** Returns whether the server may be asked for another connection. */
  boolean mayOpen(long nowNanos) {
    return refusedPauseNanos == 0 || nowNanos - closedUntilNanos >= 0;
  }

  /** Returns whether there is no connection, and none may be asked for now. */
  boolean isShut(long nowNanos) {
    return open() == 0 && !mayOpen(nowNanos);
  }

  void opened(C connection) {
    refusedPauseNanos = 0;
    opening--;
    use(connection);
  }

  /** Returns whether the connection was in use here. */
  boolean giveBack(C connection) {
    Long since = inUse.remove(connection);
    if (since == null) {
      return false;
    }
    meanUseNanos += USE_WEIGHT * (clock.nowNanos() - since - meanUseNanos);
    busy.changed(demand());
    return true;
  }

  void keep(C connection) {
    idle.addLast(connection);
  }

  /** Queues behind all that have the same priority or a lower number. */
  void await(CompletableFuture<C> waiter, int priority) {
    int place = waiting.size();
    while (place > 0 && waiting.get(place - 1).priority() > priority) {
      place--;
    }
    waiting.add(place, new Waiter<>(waiter, priority));
    busy.changed(demand());
  }

  void stopWaiting(CompletableFuture<C> waiter) {
    waiting.removeIf(entry -> entry.connection() == waiter);
    busy.changed(demand());
  }

  Optional<CompletableFuture<C>> nextWaiter() {
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    CompletableFuture<C> next = waiting.remove(0).connection();
    busy.changed(demand());
    return Optional.of(next);
  }

  /** The connections in use, and those that somebody waits for. */
  private int demand() {
    return inUse.size() + opening + waiting.size();
  }

  /** Returns how many connections had work on average since the last call. */
  double takeMeanDemand() {
    return busy.takeMean();
  }

  /** Returns those that wait, and forgets them. */
  List<CompletableFuture<C>> takeWaiters() {
    List<CompletableFuture<C>> all = waiting.stream().map(Waiter::connection).toList();
    waiting.clear();
    busy.changed(demand());
    return all;
  }

  private record Waiter<C>(CompletableFuture<C> connection, int priority) {}

  /** Returns the connections to close: idle ones first, those in use only if nothing is allowed. */
  List<C> excess(int allowed) {
    List<C> excess = new ArrayList<>();
    while (open() > allowed && !idle.isEmpty()) {
      excess.add(idle.removeFirst());
    }
    if (allowed == 0) {
      excess.addAll(inUse.keySet());
    }
    return excess;
  }

  /** Hands those that wait to the pool of a later start; returns the connections to close. */
  List<C> retireTo(ServerPool<C> later) {
    later.waiting.addAll(waiting);
    waiting.clear();
    List<C> old = new ArrayList<>(idle);
    idle.clear();
    return old;
  }

  PoolUse readUse() {
    PoolUse use = new PoolUse(open(), peakInUse, waiting.size());
    peakInUse = inUse.size() + opening;
    return use;
  }
}
