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

/** Polls the state of the servers in the view, with at most one request per server in flight. */
public final class GroupMonitor {
  private static final long IN_USE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final ViewHolder views;
  private final ServerAdmin admin;
  private final MonotonicClock clock;
  private final Duration interval;
  private final Duration idleInterval;
  private final Map<GroupId, Long> lastUsedNanos = new ConcurrentHashMap<>();
  private final Map<ServerId, Long> nextIdlePollNanos = new ConcurrentHashMap<>();
  private final Map<ServerId, ServerObservation> observations = new ConcurrentHashMap<>();
  private final Set<ServerId> pollsInFlight = ConcurrentHashMap.newKeySet();
  private final java.util.List<BiConsumer<ServerState, Optional<ServerObservation>>> listeners =
      new CopyOnWriteArrayList<>();

  /**
   * Creates a monitor that sends no requests until {@link #start(WorkerPool)}.
   *
   * @param interval the poll interval for groups that callers of this proxy use
   * @param idleInterval the poll interval for the other groups
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

  /** Starts polling on the given workers. */
  public void start(WorkerPool workers) {
    workers.scheduleRepeatedly(interval, this::pollAll);
  }

  /** Adds a listener for each poll result, which is empty if the request failed. */
  public void onReport(BiConsumer<ServerState, Optional<ServerObservation>> listener) {
    listeners.add(listener);
  }

  /** Returns the last report of a server, or empty if there is none. */
  public Optional<ServerObservation> latest(ServerId server) {
    return Optional.ofNullable(observations.get(server));
  }

  /** Records a use of a group, so that its servers are polled at the short interval for a time. */
  public void recordUse(GroupId group) {
    lastUsedNanos.put(group, clock.nowNanos());
  }

  /** Polls every server that is due. The workers call this method at the short interval. */
  void pollAll() {
    View view = views.current();
    observations.keySet().removeIf(server -> view.server(server).isEmpty());
    nextIdlePollNanos.keySet().removeIf(server -> view.server(server).isEmpty());
    lastUsedNanos.keySet().removeIf(group -> view.group(group).isEmpty());
    view.servers().values().stream().filter(this::due).forEach(this::poll);
  }

  /**
   * Returns whether a server is polled now.
   *
   * <p>Polling all servers at the short interval costs an idle proxy a tenth of a core per group,
   * so groups that are not in use are polled at the long interval. Their reports are older, but
   * every age bound includes the age of the report, so no data is served that is too old.
   */
  private boolean due(ServerState server) {
    long now = clock.nowNanos();
    Long lastUsed = lastUsedNanos.get(server.group());
    if (lastUsed != null && now - lastUsed < IN_USE_NANOS) {
      return true;
    }
    Long next = nextIdlePollNanos.get(server.id());
    if (next != null && now - next < 0) {
      return false;
    }
    nextIdlePollNanos.put(server.id(), now + idleInterval.toNanos());
    return true;
  }

  private void poll(ServerState server) {
    if (!pollsInFlight.add(server.id())) {
      return;
    }
    long askedNanos = clock.nowNanos();
    admin
        .state(server.address(), interval.multipliedBy(10))
        .whenComplete(
            (report, failure) -> {
              pollsInFlight.remove(server.id());
              Optional<ServerObservation> observation =
                  failure == null && report.server().equals(server.id())
                      ? Optional.of(new ServerObservation(report, askedNanos, clock.nowNanos()))
                      : Optional.empty();
              observation.ifPresent(observed -> observations.put(server.id(), observed));
              listeners.forEach(listener -> listener.accept(server, observation));
            });
  }
}
