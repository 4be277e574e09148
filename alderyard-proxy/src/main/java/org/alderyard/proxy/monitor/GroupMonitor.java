package org.alderyard.proxy.monitor;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.view.ViewHolder;

/** Asks the servers of the view for their state, one request at a time each. */
public final class GroupMonitor {
  private static final long ACTIVE_FOR_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final ViewHolder views;
  private final ServerAdmin admin;
  private final MonotonicClock clock;
  private final Duration interval;
  private final Duration idleInterval;
  private final Map<GroupId, Long> lastUsedNanos = new ConcurrentHashMap<>();
  private final Map<ServerId, Long> nextIdleNanos = new ConcurrentHashMap<>();
  private final Map<ServerId, ServerObservation> observations = new ConcurrentHashMap<>();
  private final Set<ServerId> asking = ConcurrentHashMap.newKeySet();
  private final java.util.List<BiConsumer<ServerState, Optional<ServerObservation>>> listeners =
      new CopyOnWriteArrayList<>();

  /**
   * Creates a monitor that asks nothing until {@link #start(WorkerPool)}.
   *
   * @param interval the pace for groups that have work here
   * @param idleInterval the pace for the others
   */
  public GroupMonitor(
      ViewHolder views,
      ServerAdmin admin,
      MonotonicClock clock,
      Duration interval,
      Duration idleInterval) {
    this.views = views;
    this.admin = admin;
    this.clock = clock;
    this.interval = interval;
    this.idleInterval = idleInterval;
  }

  /** Starts to ask. */
  public void start(WorkerPool workers) {
    workers.scheduleRepeatedly(interval, this::askAll);
  }

  /** Adds a listener for each report, or the lack of one. */
  public void onReport(BiConsumer<ServerState, Optional<ServerObservation>> listener) {
    listeners.add(listener);
  }

  /** Returns what was last heard of a server. */
  public Optional<ServerObservation> latest(ServerId server) {
    return Optional.ofNullable(observations.get(server));
  }

  /** Notes that a group has work, so that its servers are asked at the fast pace for a while. */
  public void used(GroupId group) {
    lastUsedNanos.put(group, clock.nowNanos());
  }

  /** Asks every server that is due; the pool of workers calls it at the fast pace. */
  void askAll() {
    View view = views.current();
    observations.keySet().removeIf(server -> view.server(server).isEmpty());
    nextIdleNanos.keySet().removeIf(server -> view.server(server).isEmpty());
    lastUsedNanos.keySet().removeIf(group -> view.group(group).isEmpty());
    view.servers().values().stream().filter(this::due).forEach(this::ask);
  }

  /**
   * Returns whether a server is asked now.
   *
   * <p>Asking all servers at the fast pace cost an idle proxy a tenth of a core for each group; so
   * the groups without work here are asked at the slow pace. What is known of them is older then,
   * and the age of the knowledge is part of every bound, so nothing is served that is too old.
   */
  private boolean due(ServerState server) {
    long now = clock.nowNanos();
    Long used = lastUsedNanos.get(server.group());
    if (used != null && now - used < ACTIVE_FOR_NANOS) {
      return true;
    }
    Long next = nextIdleNanos.get(server.id());
    if (next != null && now - next < 0) {
      return false;
    }
    nextIdleNanos.put(server.id(), now + idleInterval.toNanos());
    return true;
  }

  private void ask(ServerState server) {
    if (!asking.add(server.id())) {
      return;
    }
    long askedNanos = clock.nowNanos();
    admin
        .state(server.address(), interval.multipliedBy(10))
        .whenComplete(
            (report, failure) -> {
              asking.remove(server.id());
              Optional<ServerObservation> observation =
                  failure == null && report.server().equals(server.id())
                      ? Optional.of(new ServerObservation(report, askedNanos, clock.nowNanos()))
                      : Optional.empty();
              observation.ifPresent(seen -> observations.put(server.id(), seen));
              listeners.forEach(listener -> listener.accept(server, observation));
            });
  }
}
