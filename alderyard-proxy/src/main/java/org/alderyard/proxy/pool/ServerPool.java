package org.alderyard.proxy.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.pool.RequestQueue.QueuedRequest;

/** The connections to one incarnation of a server. Not thread-safe. */
final class ServerPool<C extends PooledConnection> {
  /**
   * The initial backoff after a server refuses a connection at its connection limit. Servers detect
   * dead connections within seconds, and the backoff adds little to that.
   */
  private static final long INITIAL_REFUSAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long MAX_REFUSAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * A connection is blocked when it has been in use for this multiple of the mean use time, because
   * of an idle transaction or a missing answer.
   */
  private static final double BLOCKED_USE_FACTOR = 4;

  /**
   * The minimum time in use of a blocked connection, so that ordinary statements, whose run times
   * differ, are not counted as blocked.
   */
  private static final long MIN_BLOCKED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The weight of a new sample in the mean use time, which covers about the last ten uses. */
  private static final double MEAN_USE_WEIGHT = 0.1;

  /** Time since its last use of a connection after which an organisation is no longer active. */
  private static final long ACTIVE_OWNER_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final long incarnation;
  private final Deque<C> idle = new ArrayDeque<>();
  // The connections in use, with the time at which each use started.
  private final Map<C, Long> inUse = new HashMap<>();
  // The organisations with the time of their last use of a connection.
  private final Map<ConnectionOwner, Long> ownerUses = new HashMap<>();
  private final RequestQueue<C> requests;
  private ConnectionOwner lastOwner = ConnectionOwner.NONE;
  private int opening;
  private int peakInUse;
  private double meanUseNanos;
  private long refusalBackoffNanos;
  private long backoffEndNanos;
  private final MonotonicClock clock;
  private final ConnectionSharing sharing;
  private final OwnerReturns returns = new OwnerReturns();
  private final TimeWeightedMean meanDemand;

  ServerPool(long incarnation, MonotonicClock clock) {
    this(incarnation, clock, ConnectionSharing.RECENCY, OwnerWeights.EQUAL);
  }

  ServerPool(
      long incarnation, MonotonicClock clock, ConnectionSharing sharing, OwnerWeights weights) {
    requests = new RequestQueue<>(weights);
    this.incarnation = incarnation;
    this.clock = clock;
    this.sharing = sharing;
    this.meanDemand = new TimeWeightedMean(clock);
  }

  long incarnation() {
    return incarnation;
  }

  int open() {
    return idle.size() + inUse.size() + opening;
  }

  /** Returns the time in use, in nanoseconds, after which a connection counts as blocked. */
  long blockedAfterNanos() {
    return Math.max(MIN_BLOCKED_NANOS, (long) (BLOCKED_USE_FACTOR * meanUseNanos));
  }

  /**
   * Returns the number of connections that have been in use for at least {@link
   * #blockedAfterNanos}.
   */
  int blocked() {
    long now = clock.nowNanos();
    long limit = blockedAfterNanos();
    return (int) inUse.values().stream().filter(since -> now - since >= limit).count();
  }

  /**
   * Takes the most recently used idle connection of an owner, so that surplus connections stay
   * idle.
   *
   * @param owner empty if any connection will do
   */
  Optional<C> takeIdle(Optional<ConnectionOwner> owner) {
    Iterator<C> newestFirst = idle.descendingIterator();
    while (newestFirst.hasNext()) {
      C connection = newestFirst.next();
      if (!connection.usable()) {
        newestFirst.remove();
        connection.close();
      } else if (owner.isEmpty() || owner.get().equals(connection.owner())) {
        newestFirst.remove();
        markInUse(connection);
        return Optional.of(connection);
      }
    }
    return Optional.empty();
  }

  /**
   * Takes an idle connection to replace it by one of another owner: the least recently used one, or
   * the one whose owner is expected back last.
   */
  Optional<C> takeReplaceable() {
    if (sharing == ConnectionSharing.RECENCY) {
      return Optional.ofNullable(idle.pollFirst());
    }
    Optional<C> replaced = returns.lastExpected(idle, clock.nowNanos());
    replaced.ifPresent(idle::remove);
    return replaced;
  }

  private void markInUse(C connection) {
    long now = clock.nowNanos();
    inUse.put(connection, now);
    if (connection.owner().isOrganisation()) {
      ownerUses.put(connection.owner(), now);
      if (sharing == ConnectionSharing.WEIGHTED) {
        returns.used(connection.owner(), now);
      }
    }
    meanDemand.update(demand());
    peakInUse = Math.max(peakInUse, inUse.size() + opening);
  }

  /**
   * Counts a connection that is being opened.
   *
   * @param owner empty if any connection will do
   * @return the owner in whose name to open it
   */
  ConnectionOwner beginOpening(Optional<ConnectionOwner> owner) {
    lastOwner = owner.orElse(lastOwner);
    opening++;
    meanDemand.update(demand());
    peakInUse = Math.max(peakInUse, inUse.size() + opening);
    return lastOwner;
  }

  void openingFailed() {
    opening--;
    meanDemand.update(demand());
  }

  /**
   * Stops opening connections for a backoff time, after the server reported its connection limit.
   */
  void backOff(long nowNanos) {
    refusalBackoffNanos =
        Math.min(
            MAX_REFUSAL_BACKOFF_NANOS,
            Math.max(INITIAL_REFUSAL_BACKOFF_NANOS, 2 * refusalBackoffNanos));
    backoffEndNanos = nowNanos + refusalBackoffNanos;
  }

  /** Returns whether the backoff after a refused connection has ended. */
  boolean mayOpen(long nowNanos) {
    return refusalBackoffNanos == 0 || nowNanos - backoffEndNanos >= 0;
  }

  /** Returns whether there is no connection and the backoff forbids to open one. */
  boolean isUnavailable(long nowNanos) {
    return open() == 0 && !mayOpen(nowNanos);
  }

  void opened(C connection) {
    refusalBackoffNanos = 0;
    opening--;
    markInUse(connection);
  }

  /** Ends the use of a connection. Returns whether the connection was in use in this pool. */
  boolean release(C connection) {
    Long since = inUse.remove(connection);
    if (since == null) {
      return false;
    }
    meanUseNanos += MEAN_USE_WEIGHT * (clock.nowNanos() - since - meanUseNanos);
    meanDemand.update(demand());
    return true;
  }

  void addIdle(C connection) {
    idle.addLast(connection);
  }

  /** Queues a request; see {@link RequestQueue} for the order. */
  void enqueue(CompletableFuture<C> request, Optional<ConnectionOwner> owner, int priority) {
    requests.add(request, owner, priority, clock.nowNanos());
    meanDemand.update(demand());
  }

  void removeRequest(CompletableFuture<C> request) {
    requests.remove(request);
    meanDemand.update(demand());
  }

  Optional<QueuedRequest<C>> pollRequest() {
    Optional<QueuedRequest<C>> next = requests.poll();
    meanDemand.update(demand());
    return next;
  }

  /** Removes and returns the request to serve when the given connection is released. */
  Optional<QueuedRequest<C>> pollRequestFor(C released) {
    long now = clock.nowNanos();
    Optional<QueuedRequest<C>> next = requests.pollFor(released, mayOpen(now), now);
    meanDemand.update(demand());
    return next;
  }

  /** Returns the number of connections in use, being opened or requested. */
  private int demand() {
    return inUse.size() + opening + requests.size();
  }

  /** Returns the time-weighted mean of the demand since the last call. */
  double takeMeanDemand() {
    return meanDemand.takeMean();
  }

  /** Removes and returns all queued requests. */
  List<CompletableFuture<C>> takeRequests() {
    List<CompletableFuture<C>> all =
        requests.takeAll().stream().map(QueuedRequest::connection).toList();
    meanDemand.update(demand());
    return all;
  }

  /**
   * Returns the connections to close, and removes the idle ones among them: idle connections beyond
   * the allowed number, and all connections in use if none is allowed.
   */
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

  /**
   * Transfers the queued requests to the pool of a later incarnation. Returns the idle connections,
   * which must be closed.
   */
  List<C> transferRequestsTo(ServerPool<C> successor) {
    successor.requests.addAll(requests.takeAll());
    List<C> idleConnections = new ArrayList<>(idle);
    idle.clear();
    return idleConnections;
  }

  PoolUse takeUse() {
    long now = clock.nowNanos();
    ownerUses.values().removeIf(last -> now - last > ACTIVE_OWNER_NANOS);
    PoolUse use = new PoolUse(open(), peakInUse, requests.size(), ownerUses.size());
    peakInUse = inUse.size() + opening;
    return use;
  }
}
