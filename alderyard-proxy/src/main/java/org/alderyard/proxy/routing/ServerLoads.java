package org.alderyard.proxy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;

/**
 * Tracks this proxy's load on each server: outstanding statements, latency and failures.
 *
 * <p>Thread-safe. The object's own monitor is a leaf lock; no other lock is taken while it is held.
 */
public final class ServerLoads {
  /** The maximum fraction of a group's servers that may be ejected at the same time. */
  static final double MAX_EJECTED_SHARE = 0.5;

  /** The time without an answer after which a measured latency has decayed to half. */
  private static final long LATENCY_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final double LATENCY_SMOOTHING = 0.2;

  private final MonotonicClock clock;
  // Guarded by this.
  private final Map<ServerId, Entry> entries = new HashMap<>();

  /** Creates an empty table. */
  public ServerLoads(MonotonicClock clock) {
    this.clock = Objects.requireNonNull(clock);
  }

  /** Returns the load of a server. A new incarnation of a server begins with a slow start. */
  public synchronized ServerLoad of(ServerState server, int slots) {
    Entry entry = entry(server);
    long now = clock.nowNanos();
    return new ServerLoad(
        entry.outstanding,
        slots,
        entry.latencyNanos(now),
        entry.health.weight(now),
        entry.health.ejected(now));
  }

  /** Records a statement that is about to be sent or queued. */
  public synchronized void begin(ServerState server) {
    entry(server).outstanding++;
  }

  /** Removes a statement that was never sent, which doesn't affect the health of the server. */
  public synchronized void cancel(ServerState server) {
    release(server);
  }

  /** Records an answer and its latency. */
  public synchronized void recordSuccess(ServerState server, long latencyNanos) {
    release(server)
        .ifPresent(
            entry -> {
              long now = clock.nowNanos();
              entry.health.recordSuccess(now);
              entry.addLatency(latencyNanos, now);
            });
  }

  /**
   * Records a failure of the server itself: no connection, no answer or a malformed answer.
   *
   * @return whether the failure caused the server to be ejected
   */
  public synchronized boolean recordFailure(ServerState server) {
    Optional<Entry> entry = release(server);
    long now = clock.nowNanos();
    if (entry.isEmpty()
        || !entry.get().health.recordFailure(now)
        || !mayEject(server.group(), now)) {
      return false;
    }
    entry.get().health.eject(now);
    return true;
  }

  /** Removes all servers except the given ones. */
  public synchronized void retainOnly(Set<ServerId> servers) {
    entries.keySet().retainAll(servers);
  }

  /**
   * Returns whether another server of the group may be ejected. A fault that affects all servers
   * has a common cause, and ejecting all of them would turn the fault into an outage.
   */
  private boolean mayEject(GroupId group, long now) {
    long servers = entries.values().stream().filter(entry -> entry.group.equals(group)).count();
    long ejected =
        entries.values().stream()
            .filter(entry -> entry.group.equals(group) && entry.health.ejected(now))
            .count();
    return ejected + 1 <= Math.floor(servers * MAX_EJECTED_SHARE);
  }

  /**
   * Decrements the outstanding statements of a server. Returns empty for a statement that began
   * with an earlier incarnation, since it is not part of the current count.
   */
  private Optional<Entry> release(ServerState server) {
    Entry entry = entries.get(server.id());
    if (entry == null || entry.incarnation != server.incarnation()) {
      return Optional.empty();
    }
    entry.outstanding--;
    return Optional.of(entry);
  }

  private Entry entry(ServerState server) {
    Entry entry = entries.get(server.id());
    if (entry != null && entry.incarnation >= server.incarnation()) {
      return entry;
    }
    Entry fresh = new Entry(server, clock.nowNanos());
    entries.put(server.id(), fresh);
    return fresh;
  }

  private static final class Entry {
    final long incarnation;
    final GroupId group;
    final ServerHealth health;
    int outstanding;
    private double latencyNanos;
    private long measuredAtNanos;

    Entry(ServerState server, long now) {
      this.incarnation = server.incarnation();
      this.group = server.group();
      this.health = new ServerHealth(now);
    }

    void addLatency(long nanos, long now) {
      double previous = latencyNanos == 0 ? nanos : latencyNanos(now);
      // A rise applies immediately and a fall is smoothed, so that load moves away early from a
      // server that slows down.
      latencyNanos = nanos > previous ? nanos : previous + LATENCY_SMOOTHING * (nanos - previous);
      measuredAtNanos = now;
    }

    /**
     * Returns the latency, which decays while nothing is measured so that a server that was slow
     * receives reads again.
     */
    long latencyNanos(long now) {
      double halfLives = (now - measuredAtNanos) / (double) LATENCY_HALF_LIFE_NANOS;
      return (long) (latencyNanos * Math.pow(0.5, halfLives));
    }
  }
}
