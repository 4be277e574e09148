package org.alderyard.proxy.monitor;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.view.ViewHolder;

/** Asks every server of the view for its state, at a fixed pace, one request at a time each. */
public final class GroupMonitor {
  private final ViewHolder views;
  private final ServerAdmin admin;
  private final MonotonicClock clock;
  private final Duration interval;
  private final Map<ServerId, ServerObservation> observations = new ConcurrentHashMap<>();
  private final Set<ServerId> asking = ConcurrentHashMap.newKeySet();
  private final java.util.List<BiConsumer<ServerState, Optional<ServerObservation>>> listeners =
      new CopyOnWriteArrayList<>();

  /** Creates a monitor that asks nothing until {@link #start(WorkerPool)}. */
  public GroupMonitor(
      ViewHolder views, ServerAdmin admin, MonotonicClock clock, Duration interval) {
    this.views = views;
    this.admin = admin;
    this.clock = clock;
    this.interval = interval;
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

  private void askAll() {
    View view = views.current();
    observations.keySet().removeIf(server -> view.server(server).isEmpty());
    view.servers().values().forEach(this::ask);
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
