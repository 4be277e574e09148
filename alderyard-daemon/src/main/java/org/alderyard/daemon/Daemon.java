package org.alderyard.daemon;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.control.ControlDiscovery;
import org.alderyard.protocol.wire.InnerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One process of the system, with the roles that its settings name. */
public final class Daemon implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(Daemon.class);

  private final HostContext host;
  private final CompletableFuture<Void> operable = new CompletableFuture<>();
  private Optional<Drainable> drainable = Optional.empty();

  /** Starts all parts; a part that can't start closes those before it. */
  public Daemon(DaemonSettings settings) {
    log.info("event=starting host={} roles={}", settings.host(), settings.roles());
    host = new HostContext(settings);
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
      // All hosts wait for the control hosts' first leader.
      startInner(settings);
      sessions.ifPresent(SessionStack::startCallers);
    } else {
      sessions.ifPresent(SessionStack::startCallers);
      startInner(settings);
    }
    if (sessions.isPresent()) {
      // After the parts that listen to views: they must see the first one.
      host.viewClient.start();
      sessions.get().startHttpLater();
      sessions.get().operable().thenRun(() -> operable.complete(null));
      return;
    }
    HttpStack http = new HttpStack(host);
    drainable = Optional.of(http);
    http.startProxyIfAsked();
    host.viewClient.start();
    http.startOperators();
    operable.complete(null);
  }

  /** Starts what the hosts have among themselves: the control log and the inner port. */
  private void startInner(DaemonSettings settings) {
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
    discovery.serve(host.dispatcher);
    host.part(
        new InnerServer(
            host.loops,
            settings.innerListenAddress().orElse(settings.innerAddress()),
            host.patientProtocol,
            host.dispatcher,
            host.controlWorkers));
    // Closed before the port: a leader hands over while the others still reach it.
    controlLog.ifPresent(host::part);
    host.part(host.viewClient);
    settings
        .open()
        .ifPresent(
            open -> {
              host.views.onChange(view -> discovery.learn(view.hosts().values()));
              discovery.start();
            });
  }

  /** Takes changes of the settings file that need no restart: the log's level and the seeds. */
  void watch(Path file) {
    new SettingsWatch(file, host.workers, this::reload).start();
  }

  private void reload(DaemonSettings changed) {
    changed.log().apply();
    changed.open().ifPresent(open -> host.controlHosts.add(open.seeds()));
  }

  /** Returns a future that is done when the ports of operators are open. */
  public CompletableFuture<Void> operable() {
    return operable;
  }

  /** Returns a future that is completed when a part failed so that the process must end. */
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
