package org.alderyard.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.http.MetricsHandler;
import org.alderyard.common.id.ServerId;
import org.alderyard.platform.CallerPort;
import org.alderyard.platform.ControlPort;
import org.alderyard.platform.WireSessionConnector;
import org.alderyard.proxy.callersession.SessionLimits;
import org.alderyard.proxy.callersession.SessionService;
import org.alderyard.proxy.lease.LeaseClient;
import org.alderyard.proxy.lease.LeaseTable;
import org.alderyard.proxy.lease.SmoothedConnectionTarget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The parts of a host whose callers open sessions. */
final class SessionStack implements Drainable {
  private static final Logger log = LoggerFactory.getLogger(SessionStack.class);

  /** Leases change with the load, which moves over seconds. */
  private static final Duration LEASE_INTERVAL = Duration.ofSeconds(1);

  /**
   * The part of the grace until new callers stop coming: the balancer asks every second and takes a
   * host out after two bad answers.
   */
  private static final double BALANCER_SHARE = 0.42;

  /** Then transactions have had half of the grace, and are ended. */
  private static final double TRANSACTION_SHARE = 0.52;

  /** What is left after that closes ports, files and the log. */
  private static final double END_SHARE = 0.85;

  private static final long POLL_MILLIS = 50;

  /** All hosts that start at once have their first view before, by a margin for slow disks. */
  private static final Duration HTTP_WAIT = Duration.ofSeconds(2);

  /** In this time a host with cold code answers the callers that waited for its view. */
  private static final Duration HTTP_AFTER_VIEW = Duration.ofMillis(500);

  /**
   * How much later than the first view a control host begins to serve callers. On its one core the
   * statements that waited kept the views of all other hosts back for 0.4 s.
   */
  private static final Duration CONTROL_HEAD_START = Duration.ofMillis(300);

  private final HostContext host;
  private final SessionOptions options;
  private final SessionService sessions;
  private Optional<CallerPort> callers = Optional.empty();
  private final CompletableFuture<Void> operable = new CompletableFuture<>();
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
                host.settings.roles().contains(Role.CONTROL) ? CONTROL_HEAD_START : Duration.ZERO,
                host.settings.readOptions().routingLogSample()));
    new LeaseClient(
            host.control,
            host.self,
            host.views,
            leases,
            sessions.pools(),
            new SmoothedConnectionTarget(sessions.pools()::takeMeanDemand))
        .start(host.workers, LEASE_INTERVAL);
  }

  private int initialConnections(ServerId server) {
    return sessions.initialConnections(server);
  }

  /**
   * Takes callers.
   *
   * <p>The first part that starts on a host that does not control: after a loss of power everywhere
   * callers come at once, and one that finds no port spends one of its few retries. Their openings
   * wait for the first view.
   */
  void startCallers() {
    sessions.start();
    callers =
        Optional.of(
            host.part(
                new CallerPort(
                    host.loops,
                    host.settings.callerAddress(),
                    sessions,
                    host.workers,
                    host.clock)));
    log.info("event=listening port=callers address={}", host.settings.callerAddress());
    sessions.startPrimaryReports(host.control, host.settings.host());
    sessions.connectToHosts(host.dispatcher, host.links, host.statementLinks, host.self);
  }

  /**
   * Opens the ports of the balancer, of operators and of servers.
   *
   * <p>They come after the first view, or after a while on hosts that find no leader: their library
   * takes a tenth of the processor time of a start, and callers' openings wait for the view. The
   * start does not wait for them, so that a host that is asked to stop meanwhile drains its
   * callers.
   */
  void startHttpLater() {
    sessions
        .firstView(HTTP_WAIT)
        .thenRun(() -> host.workers.schedule(HTTP_AFTER_VIEW, this::startHttp));
  }

  /** Returns a future that is done when the ports of the balancer and of operators are open. */
  CompletableFuture<Void> operable() {
    return operable;
  }

  private void startHttp() {
    if (stopping) {
      return;
    }
    try {
      openHttpPorts();
      operable.complete(null);
    } catch (AlderyardException taken) {
      host.failure.complete(taken);
    }
  }

  private void openHttpPorts() {
    host.port(
        "ready", options.readyAddress(), Optional.empty(), ControlPort.readiness(this::ready));
    host.settings
        .operatorAddress()
        .ifPresent(
            address ->
                host.port(
                    "control",
                    address,
                    Optional.empty(),
                    new ControlPort(host.control, host.workers, host.clock, host.registry)
                        .handler()));
    options
        .metricsAddress()
        .ifPresent(
            address ->
                host.port("metrics", address, Optional.empty(), new MetricsHandler(host.registry)));
  }

  private boolean ready() {
    return !stopping && sessions.ready();
  }

  /**
   * Ends the sessions within the grace.
   *
   * <p>The port stays open until the balancer has seen that this host is not ready; sessions in
   * which nothing happens are closed then, the others as soon as they rest, and open transactions
   * after half of the grace.
   */
  @Override
  public void drain() {
    stopping = true;
    if (callers.isEmpty()) {
      return;
    }
    long startNanos = host.clock.nowNanos();
    log.info(
        "event=drain-begin sessions={} held-transactions={}",
        sessions.sessionCount(),
        sessions.heldTransactionCount());
    sessions.stopAcceptingForwarded();
    try {
      waitUntil(startNanos, BALANCER_SHARE);
      sessions.drain();
      closeIdleUntil(startNanos, TRANSACTION_SHARE);
      callers.get().abortTransactions();
      sessions.rollBackHeldTransactions();
      closeIdleUntil(startNanos, END_SHARE);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
    log.info("event=drain-end sessions={}", sessions.sessionCount());
  }

  private boolean inUse() {
    return sessions.sessionCount() > 0 || sessions.heldTransactionCount() > 0;
  }

  private void waitUntil(long startNanos, double share) throws InterruptedException {
    while (!over(startNanos, share) && inUse()) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private void closeIdleUntil(long startNanos, double share) throws InterruptedException {
    while (!over(startNanos, share) && inUse()) {
      callers.get().closeIdle();
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private boolean over(long startNanos, double share) {
    return host.clock.nowNanos() - startNanos > options.grace().toNanos() * share;
  }
}
