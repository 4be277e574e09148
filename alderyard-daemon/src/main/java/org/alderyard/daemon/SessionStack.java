package org.alderyard.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.http.MetricsHandler;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.start.StartStage;
import org.alderyard.platform.CallerPort;
import org.alderyard.platform.ControlPort;
import org.alderyard.platform.WireSessionConnector;
import org.alderyard.proxy.callersession.SessionLimits;
import org.alderyard.proxy.callersession.SessionService;
import org.alderyard.proxy.lease.LeaseClient;
import org.alderyard.proxy.lease.LeaseTable;
import org.alderyard.proxy.lease.SmoothedConnectionTarget;
import org.alderyard.proxy.quota.QuotaService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Components of a host whose callers open sessions. */
final class SessionStack implements Drainable {
  private static final Logger log = LoggerFactory.getLogger(SessionStack.class);

  /** Interval between lease renewals. The load changes over seconds, and the leases follow it. */
  private static final Duration LEASE_INTERVAL = Duration.ofSeconds(1);

  /**
   * Fraction of the grace after which the host stops accepting new callers. The load balancer
   * queries readiness every second and removes a host after two failed checks.
   */
  private static final double ACCEPT_SHARE = 0.42;

  /**
   * Fraction of the grace after which statements are refused and open transactions are rolled back;
   * by then they have had half of the grace to finish.
   */
  private static final double TRANSACTION_SHARE = 0.52;

  /**
   * Fraction of the grace after which the statements that still run are answered and their
   * connections closed.
   */
  private static final double STATEMENT_SHARE = 0.85;

  /**
   * Fraction of the grace after which the drain ends. The remainder is used to close ports, files
   * and the log.
   */
  private static final double DRAIN_SHARE = 0.87;

  private static final long POLL_MILLIS = 50;

  /**
   * Delay of the HTTP ports after the first view, in which a host whose code is not yet compiled
   * serves the callers that waited for the view.
   */
  private static final Duration HTTP_DELAY_AFTER_VIEW = Duration.ofMillis(500);

  /**
   * Delay after the first view before a control host serves callers. On the single core of a
   * control host, queued statements otherwise delayed the views of all other hosts by 0.4 s.
   */
  private static final Duration CONTROL_HOST_SERVING_DELAY = Duration.ofMillis(300);

  private final HostContext host;
  private final SessionOptions options;
  private final SessionService sessions;
  private final QuotaService quota;
  private Optional<CallerPort> callerPort = Optional.empty();
  private final CompletableFuture<Void> viewForHttp = new CompletableFuture<>();
  private final CompletableFuture<Void> whenOperatorPortsOpen = new CompletableFuture<>();
  private volatile boolean stopping;

  SessionStack(HostContext host, SessionOptions options) {
    this.host = host;
    this.options = options;
    LeaseTable leases = new LeaseTable(host.clock, this::initialConnections);
    sessions =
        new SessionService(
            host.views,
            host.settings.zone(),
            new WireSessionConnector(host.loops),
            leases,
            host.workers,
            host.clock,
            host.wallClock,
            host.registry,
            host.viewClient::leaseValid,
            new SessionLimits(
                    options.maxSessions(),
                    host.settings.roles().contains(Role.CONTROL)
                        ? CONTROL_HOST_SERVING_DELAY
                        : Duration.ZERO,
                    host.settings.readOptions().routingLogSample(),
                    options.startOpenings())
                .withConnectionSharing(options.connectionSharing())
                .withAdmission(options.admission()),
            host.startLog);
    sessions.holdOperations(host.viewClient.gate());
    host.viewClient.extendHeartbeats(
        sessions.useServerHealth(options.health(), host.settings.host()));
    quota =
        new QuotaService(
            host.self,
            host.views::current,
            host.links,
            host.clock,
            host.workers::schedule,
            host.viewClient::leaseValid,
            options.quotaTolerance(),
            options.quotaCounters(),
            host.registry);
    host.views.onChange(quota::onViewChange);
    host.views.onChange(
        view -> {
          if (options.httpStart().mayOpen(view.configuration().isPresent())) {
            viewForHttp.complete(null);
          }
        });
    host.viewClient.onLeaseConfirmed(() -> host.startLog.reached(StartStage.VIEW_LEASE));
    LeaseClient leaseClient =
        new LeaseClient(
            host.control,
            host.self,
            host.views,
            leases,
            sessions.pools(),
            new SmoothedConnectionTarget(sessions.pools()::takeMeanDemand));
    leaseClient.onGrants(() -> host.startLog.reached(StartStage.CONNECTION_LEASE));
    leaseClient.start(host.workers, LEASE_INTERVAL);
  }

  private int initialConnections(ServerId server) {
    return sessions.initialConnections(server);
  }

  /**
   * Opens the caller port and starts the session service.
   *
   * <p>On hosts without the control role this is the first component that starts: after a power
   * loss of all hosts, callers connect immediately, and a caller that finds no open port uses one
   * of its few retries. Session openings wait for the first view.
   */
  void startCallerPort() {
    sessions.start();
    callerPort =
        Optional.of(
            host.register(
                new CallerPort(
                    host.loops,
                    host.settings.callerAddress(),
                    sessions,
                    host.workers,
                    host.clock)));
    host.startLog.reached(StartStage.CALLER_PORT);
    log.info("event=listening port=callers address={}", host.settings.callerAddress());
    quota.serve(host.dispatcher);
    sessions.limitOperations(quota);
    sessions.startPrimaryReports(host.control, host.settings.host());
    sessions.connectToHosts(host.dispatcher, host.links, host.statementLinks, host.self);
  }

  /**
   * Schedules the opening of the readiness, operator and metrics ports.
   *
   * <p>The ports open after the first view, or after a timeout on hosts that find no leader:
   * loading their library would delay the first view, for which callers' session openings wait.
   * This method does not block, so that a host that is stopped meanwhile can drain its callers.
   */
  void scheduleHttpStart() {
    viewForHttp
        .completeOnTimeout(null, options.httpStart().maxWait().toMillis(), TimeUnit.MILLISECONDS)
        .thenRun(
            () ->
                host.workers.schedule(
                    HTTP_DELAY_AFTER_VIEW, () -> host.workers.execute(this::startHttp)));
  }

  /** Returns a future that completes when the readiness and operator ports are open. */
  CompletableFuture<Void> whenOperatorPortsOpen() {
    return whenOperatorPortsOpen;
  }

  private void startHttp() {
    if (stopping) {
      return;
    }
    try {
      openHttpPorts();
      host.startLog.reached(StartStage.HTTP_PORTS);
      whenOperatorPortsOpen.complete(null);
    } catch (AlderyardException bindFailure) {
      host.failure.complete(bindFailure);
    }
  }

  private void openHttpPorts() {
    host.openPort(
        "ready", options.readyAddress(), Optional.empty(), ControlPort.readiness(this::ready));
    host.settings
        .operatorAddress()
        .ifPresent(
            address ->
                host.openPort(
                    "control",
                    address,
                    Optional.empty(),
                    new ControlPort(
                            host.control,
                            host.settings.clusterKey()::documentSeal,
                            () -> operatorPortOfControlHost(address.getPort()),
                            host.workers,
                            host.clock,
                            host.wallClock,
                            host.registry)
                        .handler()));
    options
        .metricsAddress()
        .ifPresent(
            address ->
                host.openPort(
                    "metrics", address, Optional.empty(), new MetricsHandler(host.registry)));
  }

  /**
   * Returns where operators read the configuration and send a large one: at a control host, the
   * leader if it is known. Empty on a control host. All hosts have the same operator port.
   */
  private Optional<InetSocketAddress> operatorPortOfControlHost(int operatorPort) {
    return host.settings.roles().contains(Role.CONTROL)
        ? Optional.empty()
        : host.control
            .preferredHost()
            .map(inner -> new InetSocketAddress(inner.getHostString(), operatorPort));
  }

  private boolean ready() {
    return !stopping && sessions.ready();
  }

  /**
   * Ends the sessions within the grace.
   *
   * <p>The caller port stays open until the load balancer has seen that this host is not ready.
   * Idle sessions are then closed, and other sessions are closed as soon as they become idle. After
   * half of the grace, open transactions are rolled back and statements are refused. At the end,
   * callers whose statement still runs are told that its outcome is unknown.
   */
  @Override
  public void drain() {
    stopping = true;
    if (callerPort.isEmpty()) {
      return;
    }
    long startNanos = host.clock.nowNanos();
    log.info(
        "event=drain-begin sessions={} held-transactions={}",
        sessions.sessionCount(),
        sessions.heldTransactionCount());
    quota.stopCounting();
    sessions.stopAcceptingForwarded();
    try {
      awaitUnused(startNanos, ACCEPT_SHARE);
      sessions.drain();
      closeIdleSessionsUntil(startNanos, TRANSACTION_SHARE);
      callerPort.get().stopStatements();
      sessions.rollBackHeldTransactions();
      closeIdleSessionsUntil(startNanos, STATEMENT_SHARE);
      callerPort.get().endRunningStatements();
      awaitUnused(startNanos, DRAIN_SHARE);
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
    }
    log.info("event=drain-end sessions={}", sessions.sessionCount());
  }

  private boolean hasSessionsOrTransactions() {
    return sessions.sessionCount() > 0 || sessions.heldTransactionCount() > 0;
  }

  private void awaitUnused(long startNanos, double share) throws InterruptedException {
    while (!elapsed(startNanos, share) && hasSessionsOrTransactions()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private void closeIdleSessionsUntil(long startNanos, double share) throws InterruptedException {
    while (!elapsed(startNanos, share) && hasSessionsOrTransactions()) {
      callerPort.get().closeIdleSessions();
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private boolean elapsed(long startNanos, double share) {
    return host.clock.nowNanos() - startNanos > options.grace().toNanos() * share;
  }
}
