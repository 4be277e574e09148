package org.alderyard.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.start.StartStage;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.control.ControlDiscovery;
import org.alderyard.protocol.wire.InnerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One daemon process; runs the roles that its settings name. */
public final class Daemon implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(Daemon.class);

  /** A leader that is found later is not a matter of the start. */
  private static final Duration MAX_RECORDED_LEADER_WAIT = Duration.ofSeconds(30);

  private final HostContext host;
  private final CompletableFuture<Void> whenOperatorPortsOpen = new CompletableFuture<>();
  private Optional<Drainable> drainable = Optional.empty();

  /**
   * Starts all components. If a component fails to start, the components already started are
   * closed.
   *
   * @throws RuntimeException if a component fails to start
   */
  public Daemon(DaemonSettings settings) {
    this(settings, new StartLog());
  }

  /** Starts all components as above and records the stages of the start. */
  Daemon(DaemonSettings settings, StartLog startLog) {
    log.info("event=starting host={} roles={}", settings.host(), settings.roles());
    host = new HostContext(settings, startLog);
    try {
      start(settings);
      log.info(
          "event=started host={} incarnation={} roles={}",
          settings.host(),
          host.self.incarnation(),
          settings.roles());
    } catch (RuntimeException failure) {
      close();
      throw failure;
    }
  }

  private void start(DaemonSettings settings) {
    Optional<SessionStack> sessions =
        settings.sessions().map(options -> new SessionStack(host, options));
    drainable = sessions.map(stack -> stack);
    if (settings.roles().contains(Role.CONTROL)) {
      // First, because every host needs the leader that the control hosts elect.
      startInterHostServices(settings);
      sessions.ifPresent(SessionStack::startCallerPort);
    } else {
      sessions.ifPresent(SessionStack::startCallerPort);
      startInterHostServices(settings);
    }
    if (sessions.isPresent()) {
      // Starts after all view listeners are registered, so that they receive the first view.
      host.viewClient.start();
      sessions.get().scheduleHttpStart();
      sessions.get().whenOperatorPortsOpen().thenRun(() -> whenOperatorPortsOpen.complete(null));
      return;
    }
    HttpStack http = new HttpStack(host);
    drainable = Optional.of(http);
    http.startProxyIfConfigured();
    host.viewClient.start();
    http.openOperatorPort();
    whenOperatorPortsOpen.complete(null);
  }

  /**
   * Starts the services between hosts: the control log on control hosts, discovery and the inner
   * port.
   */
  private void startInterHostServices(DaemonSettings settings) {
    Optional<ControlLog> controlLog =
        settings.roles().contains(Role.CONTROL)
            ? Optional.of(new ControlStack(host).start())
            : Optional.empty();
    ControlDiscovery discovery =
        new ControlDiscovery(
            host.controlHosts,
            host.links,
            host.controlWorkers,
            host.viewClient::leaseValid,
            () -> controlLog.map(ControlLog::memberAddresses).orElse(List.of()));
    controlLog.ifPresent(this::recordLeader);
    discovery.serve(host.dispatcher);
    host.register(
        new InnerServer(
            host.loops,
            settings.innerListenAddress().orElse(settings.innerAddress()),
            host.longTimeoutProtocol,
            host.dispatcher,
            host.controlWorkers));
    host.startLog.reached(StartStage.INNER_PORT);
    // Closed before the inner port: a leader hands over while other hosts can still reach it.
    controlLog.ifPresent(host::register);
    host.register(host.viewClient);
    settings
        .discovery()
        .ifPresent(
            options -> {
              host.views.onChange(view -> discovery.onViewChange(view.hosts().values()));
              discovery.start();
            });
  }

  private void recordLeader(ControlLog controlLog) {
    host.startLog.reached(StartStage.CONTROL_LOG);
    controlLog
        .whenLeaderKnown(MAX_RECORDED_LEADER_WAIT)
        .thenRun(() -> host.startLog.reached(StartStage.LEADER));
  }

  /** Applies changes of the settings file that need no restart: the log options and the seeds. */
  void watchSettings(SettingsWatch watch) {
    watch.start(host.workers, this::applyReloadable);
  }

  private void applyReloadable(DaemonSettings changed) {
    changed.log().apply();
    changed.discovery().ifPresent(options -> host.controlHosts.add(options.seeds()));
  }

  /** Returns a future that completes when the operator ports are open. */
  public CompletableFuture<Void> whenOperatorPortsOpen() {
    return whenOperatorPortsOpen;
  }

  /**
   * Returns a future that completes with the error if a component fails fatally; the process must
   * then exit.
   */
  public CompletableFuture<AlderyardException> failure() {
    return host.failure;
  }

  @Override
  public void close() {
    log.info("event=stopping host={}", host.settings.host());
    drainable.ifPresent(Drainable::drain);
    host.close();
    log.info("event=stopped host={}", host.settings.host());
  }
}
