package org.alderyard.proxy.serverhealth;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;

/** The servers of one group with their health, and what was decided about them. */
final class GroupServers {
  /** Bounds the events that wait for the log. */
  private static final int MAX_EVENTS = 32;

  private final double phase;
  private final Map<ServerId, ServerHealth> servers = new HashMap<>();
  private final Queue<HealthEvent> events = new ArrayDeque<>();

  GroupServers(double phase) {
    this.phase = phase;
  }

  /** Returns whether this incarnation of a server, or a later one, is known. */
  boolean knows(ServerState server) {
    ServerHealth known = servers.get(server.id());
    return known != null && known.incarnation() >= server.incarnation();
  }

  /** Returns the health of the server's latest incarnation; a new one has no observations. */
  ServerHealth health(ServerState server) {
    if (!knows(server)) {
      servers.put(server.id(), new ServerHealth(server.id(), server.incarnation(), phase));
    }
    return servers.get(server.id());
  }

  /** Returns the health of exactly this incarnation; empty if a later one has started. */
  Optional<ServerHealth> incarnation(ServerState server) {
    return Optional.of(health(server))
        .filter(health -> health.incarnation() == server.incarnation());
  }

  List<ServerHealth> all() {
    return List.copyOf(servers.values());
  }

  int count(Predicate<ServerHealth> condition) {
    return (int) servers.values().stream().filter(condition).count();
  }

  void retain(Collection<ServerId> current) {
    servers.keySet().retainAll(current);
  }

  /** Returns the recent reads of the group's other regular servers. */
  ReadSums others(ServerHealth health, long nowNanos) {
    ReadSums sum = ReadSums.NONE;
    for (ServerHealth other : servers.values()) {
      if (other != health && other.isRegular()) {
        sum = sum.plus(other.reads().recent(nowNanos));
      }
    }
    return sum;
  }

  /** Returns the mean response time of the group's other regular servers; empty without any. */
  OptionalDouble peerMillis(ServerHealth health, long nowNanos) {
    ReadSums others = others(health, nowNanos);
    return others.answered() > 0 ? OptionalDouble.of(others.meanMillis()) : OptionalDouble.empty();
  }

  /**
   * Records a decision; the oldest one is dropped if too many wait.
   *
   * @param spanNanos how long the decision holds, or the state that it ends has held
   */
  void addEvent(
      HealthEvent.Kind kind, ServerHealth health, String reason, long spanNanos, long nowNanos) {
    if (events.size() >= MAX_EVENTS) {
      events.remove();
    }
    events.add(
        new HealthEvent(
            kind,
            health.id(),
            health.incarnation(),
            reason,
            health.reads().recentFailedShare(),
            health.reads().recentMillis(),
            peerMillis(health, nowNanos).orElse(0),
            TimeUnit.NANOSECONDS.toMillis(spanNanos)));
  }

  /** Returns the decisions since the last call, oldest first. */
  List<HealthEvent> takeEvents() {
    List<HealthEvent> taken = List.copyOf(events);
    events.clear();
    return taken;
  }

  /** Returns the reads of this host since the last call. */
  List<ReadReport> takeReports() {
    List<ReadReport> reports = new ArrayList<>();
    for (ServerHealth health : servers.values()) {
      ReadSums sums = health.reads().takeUnreported();
      if (!sums.equals(ReadSums.NONE)) {
        reports.add(ReadReport.of(health.id(), health.incarnation(), sums));
      }
    }
    return reports;
  }
}
