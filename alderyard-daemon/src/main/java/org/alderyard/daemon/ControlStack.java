package org.alderyard.daemon;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import java.security.SecureRandom;
import org.alderyard.backend.http.HttpConnector;
import org.alderyard.backend.http.HttpServerAdmin;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;
import org.alderyard.control.failover.DirectorOptions;
import org.alderyard.control.failover.FailoverObserver;
import org.alderyard.control.failover.FailoverService;
import org.alderyard.control.failover.FailoverTable;
import org.alderyard.control.grant.GrantOptions;
import org.alderyard.control.grant.GrantService;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.log.LocalLog;
import org.alderyard.control.log.LogListener;
import org.alderyard.control.log.OpenMembership;
import org.alderyard.control.log.ReplicatedLog;
import org.alderyard.control.log.ReplicatedLogBuilder;
import org.alderyard.control.promotion.PromotionService;
import org.alderyard.control.promotion.ReplicaStarts;
import org.alderyard.control.service.ControlService;
import org.alderyard.control.service.ViewFeed;
import org.alderyard.control.state.ControlState;
import org.alderyard.platform.PlatformPromoter;
import org.alderyard.platform.WireReplicationClient;
import org.alderyard.platform.WireSessionConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Components of a control host: its replica of the control log and the services on top of it. */
final class ControlStack {
  private static final Logger log = LoggerFactory.getLogger(ControlStack.class);

  private final HostContext host;

  ControlStack(HostContext host) {
    this.host = host;
  }

  /**
   * Starts the services and returns the control log. The caller must register the log after the
   * inner port, so that it is closed before the port.
   */
  ControlLog start() {
    ViewFeed feed = new ViewFeed(host.controlWorkers);
    FailoverTable failovers = new FailoverTable();
    ControlState state = new ControlState(feed::publish, failovers);
    CounterWithCallback.builder()
        .name("alderyard_control_entries_refused_total")
        .help("Entries of the control log that no host can carry out, since this host started.")
        .callback(callback -> callback.call(state.refusedEntries()))
        .register(host.registry);
    ControlLog controlLog = host.register(controlLog(state));
    ControlService service =
        new ControlService(controlLog, state, feed, host.clock, host.wallClock);
    service.serve(host.dispatcher);
    service.start(host.controlWorkers);
    startGrants(controlLog, state);
    if (host.settings.sessions().isPresent()) {
      startPromotion(controlLog, service);
    } else {
      startFailover(controlLog, state, failovers);
    }
    return controlLog;
  }

  /**
   * Starts the grant service. Grants are advisory where callers open sessions, because those
   * backend servers themselves refuse connections above their limit.
   */
  private void startGrants(ControlLog controlLog, ControlState state) {
    GrantOptions options =
        host.settings.sessions().isPresent() ? GrantOptions.ADVISORY : GrantOptions.DEFAULT;
    GrantService grants = new GrantService(controlLog, state::view, options, host.clock);
    grants.serve(host.dispatcher);
    GaugeWithCallback.builder()
        .name("alderyard_connections_beyond_return_room")
        .help("Granted connections that leave less room for a return of all hosts at once.")
        .callback(callback -> callback.call(grants.grantedBeyondHeadroom()))
        .register(host.registry);
  }

  /**
   * Creates the control log. Without a data folder, the state of a single control host is lost when
   * its process ends.
   */
  private ControlLog controlLog(ControlState state) {
    DaemonSettings settings = host.settings;
    if (settings.dataFolder().isEmpty()) {
      log.warn("event=log-volatile reason=no-data-folder");
      return new LocalLog(settings.host(), state);
    }
    ReplicatedLogBuilder builder =
        ReplicatedLog.builder()
            .clusterId(settings.clusterId())
            .host(settings.host(), settings.innerAddress())
            .members(host.controlHosts.configuredAddresses())
            .dataFolder(settings.dataFolder().get())
            .stateMachine(state)
            .network(host.links, host.dispatcher)
            .callbacks(host.controlWorkers)
            .clock(host.clock)
            .random(new SecureRandom())
            .listener(
                new LogListener() {
                  @Override
                  public void onFailure(AlderyardException cause) {
                    host.workers.execute(() -> host.failure.complete(cause));
                  }
                });
    settings
        .discovery()
        .ifPresent(
            options ->
                builder.openMembership(
                    new OpenMembership(
                        options.voters(), options.mayFound(), host.controlHosts::addresses)));
    return builder.start();
  }

  private void startFailover(ControlLog controlLog, ControlState state, FailoverTable failovers) {
    FailoverService service =
        host.register(
            new FailoverService(
                controlLog,
                failovers,
                state::view,
                new HttpServerAdmin(new HttpConnector(host.ioWorker(), host.workers)),
                host.workers,
                host.clock,
                host.wallClock,
                DirectorOptions.DEFAULT,
                FailoverObserver.NONE));
    service.serve(host.dispatcher);
    service.start();
  }

  private void startPromotion(ControlLog controlLog, ControlService control) {
    ControlState state = control.state();
    host.settings
        .sessions()
        .flatMap(SessionOptions::appointerAddress)
        .ifPresent(
            address -> {
              PromotionService service =
                  new PromotionService(
                      controlLog,
                      host.settings.host(),
                      state::view,
                      state::pendingPromotion,
                      replicaStarts(control),
                      new WireReplicationClient(new WireSessionConnector(host.loops)),
                      new PlatformPromoter(address, host::ioWorker, host.workers),
                      host.workers,
                      host.clock,
                      host.wallClock);
              service.serve(host.dispatcher);
              control.admitReplicasBy(service::admit);
              service.start();
            });
  }

  private static ReplicaStarts replicaStarts(ControlService control) {
    return new ReplicaStarts() {
      @Override
      public boolean mayLackCommits(ServerId server) {
        return control.state().mayLackCommits(server);
      }

      @Override
      public boolean isAnnouncedSince(ServerState server, long millis) {
        return control.isAnnouncedSince(server, millis);
      }
    };
  }
}
