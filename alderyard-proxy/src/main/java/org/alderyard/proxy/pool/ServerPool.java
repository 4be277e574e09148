package org.alderyard.proxy.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ServerConnection;

/** The connections to one start of one server. Not safe for several threads. */
final class ServerPool {
  private final long incarnation;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();
  private final Set<ServerConnection> inUse = new HashSet<>();
  private final Deque<CompletableFuture<ServerConnection>> waiting = new ArrayDeque<>();
  private int opening;
  private int peakInUse;

  ServerPool(long incarnation) {
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  int open() {
    return idle.size() + inUse.size() + opening;
  }

  /** Takes the connection that was used last, so that those beyond the need stay idle. */
  Optional<ServerConnection> takeIdle() {
    while (!idle.isEmpty()) {
      ServerConnection connection = idle.removeLast();
      if (connection.usable()) {
        use(connection);
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  private void use(ServerConnection connection) {
    inUse.add(connection);
    peakInUse = Math.max(peakInUse, inUse.size() + opening);
  }

  void beginOpening() {
    opening++;
    peakInUse = Math.max(peakInUse, inUse.size() + opening);
  }

  void openingFailed() {
    opening--;
  }

  void opened(ServerConnection connection) {
    opening--;
    use(connection);
  }

  /** Returns whether the connection was in use here. */
  boolean giveBack(ServerConnection connection) {
    return inUse.remove(connection);
  }

  void keep(ServerConnection connection) {
    idle.addLast(connection);
  }

  void await(CompletableFuture<ServerConnection> waiter) {
    waiting.addLast(waiter);
  }

  void stopWaiting(CompletableFuture<ServerConnection> waiter) {
    waiting.remove(waiter);
  }

  Optional<CompletableFuture<ServerConnection>> nextWaiter() {
    return Optional.ofNullable(waiting.pollFirst());
  }

  /** Returns the connections to close: idle ones first, those in use only if nothing is allowed. */
  List<ServerConnection> excess(int allowed) {
    List<ServerConnection> excess = new ArrayList<>();
    while (open() > allowed && !idle.isEmpty()) {
      excess.add(idle.removeFirst());
    }
    if (allowed == 0) {
      excess.addAll(inUse);
    }
    return excess;
  }

  /** Hands those that wait to the pool of a later start; returns the connections to close. */
  List<ServerConnection> retireTo(ServerPool later) {
    later.waiting.addAll(waiting);
    waiting.clear();
    List<ServerConnection> old = new ArrayList<>(idle);
    idle.clear();
    return old;
  }

  PoolUse readUse() {
    PoolUse use = new PoolUse(open(), peakInUse, waiting.size());
    peakInUse = inUse.size() + opening;
    return use;
  }
}
