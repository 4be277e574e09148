package org.alderyard.proxy.read;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.freshness.FreshnessTable;
import org.alderyard.proxy.freshness.Measurement;
import org.alderyard.proxy.freshness.PositionWaits;
import org.alderyard.proxy.limit.LeaseShareLimit;
import org.alderyard.proxy.limit.ServerLimiters;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.monitor.ServerObservation;
import org.alderyard.proxy.pool.ConnectionAllowance;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.routing.ReadRouter;
import org.alderyard.proxy.routing.ServerChooser;
import org.alderyard.proxy.routing.ServerLoads;
import org.alderyard.proxy.view.ViewHolder;

/** Assembles the read path and supplies it with views and measurements. */
public final class ReadStack {
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(10);

  private final FreshnessTable freshness = new FreshnessTable();
  private final PositionWaits positionWaits;
  private final ServerLoads loads;
  private final ServerLimiters limiters;
  private final ServerRunner runner;
  private final ReadPath path;
  private final ReadMetrics metrics;

  /**
   * Creates the read path and registers it as a listener of the views and of the monitor.
   *
   * @param random a thread-safe random generator
   */
  public ReadStack(
      ReadOptions options,
      ZoneName zone,
      ViewHolder views,
      GroupMonitor monitor,
      ServerPools pools,
      ConnectionAllowance allowance,
      WorkerPool workers,
      MonotonicClock clock,
      RandomGenerator random,
      PrometheusRegistry registry) {
    metrics = new ReadMetrics(registry);
    positionWaits = new PositionWaits(workers);
    loads = new ServerLoads(clock);
    limiters =
        new ServerLimiters(
            clock,
            (server, slots) ->
                new LeaseShareLimit(
                    slots,
                    () -> allowance.allowed(server),
                    () -> connectionsPerServer(views, server)),
            options.queuePerServer(),
            workers,
            (server, flow, reason) -> metrics.recordRefusal(reason));
    metrics.registerGauges(limiters);
    runner = new ServerRunner(limiters, loads, pools, clock, metrics);
    ServerChooser chooser =
        new ServerChooser(zone, ServerChooser.DEFAULT_OTHER_ZONE_FACTOR, random);
    path =
        new ReadPath(
            clock,
            freshness,
            positionWaits,
            loads,
            limiters,
            runner,
            new ReadRouter(chooser, options.waitBudget().toNanos()),
            metrics,
            options.routingLogSample());
    onViewChange(views.current());
    views.onChange(this::onViewChange);
    monitor.onReport(this::onServerReport);
    workers.scheduleRepeatedly(SWEEP_INTERVAL, limiters::sweep);
  }

  /** Returns the read path. */
  public ReadPath path() {
    return path;
  }

  /** Returns the metrics of statements. */
  public ReadMetrics metrics() {
    return metrics;
  }

  /** Returns the limiters of the servers, which reads and writes share. */
  public ServerLimiters limiters() {
    return limiters;
  }

  private static int connectionsPerServer(ViewHolder views, ServerId server) {
    View view = views.current();
    return view.server(server)
        .flatMap(state -> view.group(state.group()))
        .map(GroupState::connectionsPerServer)
        .orElse(1);
  }

  private void onViewChange(View view) {
    freshness.onViewChange(view);
    loads.retainOnly(view.servers().keySet());
  }

  private void onServerReport(ServerState server, Optional<ServerObservation> observation) {
    observation.ifPresent(
        observed -> {
          ServerReport report = observed.report();
          freshness
              .group(server.group())
              .observe(
                  new Measurement(
                      report.server(),
                      report.incarnation(),
                      report.term(),
                      report.role() == ServerRole.PRIMARY,
                      report.held(),
                      report.applied(),
                      observed.askedNanos(),
                      observed.receivedNanos()));
          positionWaits.recordApplied(report.server(), report.applied());
        });
  }
}
