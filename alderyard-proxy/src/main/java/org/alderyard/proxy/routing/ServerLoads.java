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
 * This proxy's work at each server: outstanding statements, latency and failures.
 *
 * <p>Lock: the object itself, a leaf; nothing is called while it is held.
 */
public final class ServerLoads {
  /** The greatest share of a group's servers that is ejected at once. */
  static final double MAX_EJECTED_SHARE = 0.5;

  /** After this time without an answer a latency counts half. */
  private static final long LATENCY_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final double LATENCY_SMOOTHING = 0.2;

  private final MonotonicClock clock;
  // Guarded by this.
  private final Map<ServerId, Entry> entries = new HashMap<>();

  /** Creates an empty table. */
  public ServerLoads(MonotonicClock clock) {
    this.clock = Objects.requireNonNull(clock);
  }

  /** Returns the load of a server; a new start of the server begins with a slow start. */
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

  /** Counts a statement that is about to be sent or queued. */
  public synchronized void begin(ServerState server) {
    entry(server).outstanding++;
  }

  /** Counts a statement that was given up before it was sent: it says nothing of the server. */
  public synchronized void abandon(ServerState server) {
    release(server);
  }

  /** Counts an answer. */
  public synchronized void succeed(ServerState server, long latencyNanos) {
    release(server)
        .ifPresent(
            entry -> {
              long now = clock.nowNanos();
              entry.health.succeeded(now);
              entry.addLatency(latencyNanos, now);
            });
  }

  /**
   * Counts a failure of the server itself (no connection, no answer, a broken answer).
   *
   * @return whether the server was ejected by it
   */
  public synchronized boolean fail(ServerState server) {
    Optional<Entry> entry = release(server);
    long now = clock.nowNanos();
    if (entry.isEmpty() || !entry.get().health.failed(now) || !roomToEject(server.group(), now)) {
      return false;
    }
    entry.get().health.eject(now);
    return true;
  }

  /** Forgets the servers that left the view. */
  public synchronized void retain(Set<ServerId> servers) {
    entries.keySet().retainAll(servers);
  }

  /** A fault that all servers share is not theirs: ejecting all would turn it into an outage. */
  private boolean roomToEject(GroupId group, long now) {
    long servers = entries.values().stream().filter(e -> e.group.equals(group)).count();
    long ejected =
        entries.values().stream()
            .filter(e -> e.group.equals(group) && e.health.ejected(now))
            .count();
    return ejected + 1 <= Math.floor(servers * MAX_EJECTED_SHARE);
  }

  /** Work that began with an earlier start of the server is not counted at the present one. */
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
    private long latencyAtNanos;

    Entry(ServerState server, long now) {
      this.incarnation = server.incarnation();
      this.group = server.group();
      this.health = new ServerHealth(now);
    }

    void addLatency(long nanos, long now) {
      double before = latencyNanos == 0 ? nanos : latencyNanos(now);
      // A rise counts at once, a fall by and by: a server that slows down is left early.
      latencyNanos = nanos > before ? nanos : before + LATENCY_SMOOTHING * (nanos - before);
      latencyAtNanos = now;
    }

    /** Decays while nothing is measured, so that a server that was slow once is tried again. */
    long latencyNanos(long now) {
      double halfLives = (now - latencyAtNanos) / (double) LATENCY_HALF_LIFE_NANOS;
      return (long) (latencyNanos * Math.pow(0.5, halfLives));
    }
  }
}
