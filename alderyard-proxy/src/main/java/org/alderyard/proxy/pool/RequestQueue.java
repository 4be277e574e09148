package org.alderyard.proxy.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;

/**
 * The requests that wait for a connection to one server.
 *
 * <p>Requests are served in ascending order of priority. Within a priority, owners take turns by
 * their weights, so that one with many requests does not delay the others; the requests of one
 * owner are served in order of arrival. Not thread-safe.
 */
final class RequestQueue<C extends PooledConnection> {
  /**
   * How long the first request may be overtaken by one that can use a released connection as it is.
   * Otherwise the connection is closed and a new one opened, which uses the server for some
   * milliseconds.
   */
  private static final long MAX_OVERTAKEN_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  private final List<QueuedRequest<C>> requests = new ArrayList<>();
  private final OwnerWeights weights;
  private final Map<Optional<ConnectionOwner>, Double> lastTurns = new HashMap<>();
  private double currentTurn;

  /**
   * Creates an empty queue.
   *
   * @param weights how many turns an owner has in relation to the others
   */
  RequestQueue(OwnerWeights weights) {
    this.weights = weights;
  }

  /**
   * A request for a connection.
   *
   * @param owner the required owner of the connection; empty if any connection will do
   * @param priority 0 is served first
   * @param turn the round of its owner in which the request is served
   * @param sinceNanos when the request was queued
   */
  record QueuedRequest<C extends PooledConnection>(
      CompletableFuture<C> connection,
      Optional<ConnectionOwner> owner,
      int priority,
      double turn,
      long sinceNanos) {

    /** Returns whether a connection belongs to the required owner. */
    boolean accepts(C candidate) {
      return owner.isEmpty() || owner.get().equals(candidate.owner());
    }

    private boolean isBefore(QueuedRequest<C> other) {
      return priority < other.priority || priority == other.priority && turn <= other.turn;
    }
  }

  void add(
      CompletableFuture<C> connection,
      Optional<ConnectionOwner> owner,
      int priority,
      long nowNanos) {
    if (requests.isEmpty()) {
      lastTurns.clear();
    }
    double share = 1 / owner.map(weights::weight).orElse(1.0);
    double turn = Math.max(currentTurn, lastTurns.getOrDefault(owner, currentTurn) + share);
    lastTurns.put(owner, turn);
    QueuedRequest<C> request = new QueuedRequest<>(connection, owner, priority, turn, nowNanos);
    int index = requests.size();
    while (index > 0 && !requests.get(index - 1).isBefore(request)) {
      index--;
    }
    requests.add(index, request);
  }

  void remove(CompletableFuture<C> connection) {
    requests.removeIf(request -> request.connection() == connection);
  }

  /** Removes and returns the first request. */
  Optional<QueuedRequest<C>> poll() {
    return requests.isEmpty() ? Optional.empty() : Optional.of(take(requests.get(0)));
  }

  /**
   * Removes and returns the request to serve when the given connection is released: one that
   * accepts the connection, unless the first request has waited too long.
   *
   * @param mayReplace whether the connection may be replaced by one of another owner
   */
  Optional<QueuedRequest<C>> pollFor(C released, boolean mayReplace, long nowNanos) {
    if (requests.isEmpty()) {
      return Optional.empty();
    }
    if (!mayReplace) {
      return requests.stream()
          .filter(request -> request.accepts(released))
          .findFirst()
          .map(this::take);
    }
    QueuedRequest<C> first = requests.get(0);
    if (nowNanos - first.sinceNanos() >= MAX_OVERTAKEN_NANOS) {
      return Optional.of(take(first));
    }
    QueuedRequest<C> next =
        requests.stream()
            .filter(request -> request.priority() == first.priority() && request.accepts(released))
            .findFirst()
            .orElse(first);
    return Optional.of(take(next));
  }

  private QueuedRequest<C> take(QueuedRequest<C> request) {
    requests.remove(request);
    currentTurn = Math.max(currentTurn, request.turn());
    return request;
  }

  /** Removes and returns all requests. */
  List<QueuedRequest<C>> takeAll() {
    List<QueuedRequest<C>> all = List.copyOf(requests);
    requests.clear();
    return all;
  }

  /** Appends requests of another queue, in their order. */
  void addAll(List<QueuedRequest<C>> others) {
    requests.addAll(others);
  }

  int size() {
    return requests.size();
  }
}
