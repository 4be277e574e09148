package org.alderyard.daemon;

import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.alderyard.backend.http.HttpConnector;
import org.alderyard.backend.http.HttpServerAdmin;
import org.alderyard.common.http.HttpPort;
import org.alderyard.common.http.MetricsHandler;
import org.alderyard.common.view.HostState;
import org.alderyard.control.operator.OperatorApi;
import org.alderyard.control.operator.RemoteControlGateway;
import org.alderyard.proxy.api.AnnouncementHandler;
import org.alderyard.proxy.api.CallerApi;
import org.alderyard.proxy.api.TransactionApi;
import org.alderyard.proxy.drain.RequestsInFlight;
import org.alderyard.proxy.lease.LeaseClient;
import org.alderyard.proxy.lease.LeaseTable;
import org.alderyard.proxy.lease.PeakConnectionTarget;
import org.alderyard.proxy.limit.PoolLimits;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.pool.PacedConnector;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.read.ReadStack;
import org.alderyard.proxy.session.SessionTokens;
import org.alderyard.proxy.statement.StatementService;
import org.alderyard.proxy.transaction.TransactionService;
import org.alderyard.proxy.view.LeasedView;
import org.alderyard.proxy.view.PoolLookup;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.watch.WatchOptions;
import org.alderyard.proxy.watch.WatcherService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Components of a proxy that serves the HTTP interface, and the operator port. */
final class HttpStack implements Drainable {
  private static final Logger log = LoggerFactory.getLogger(HttpStack.class);

  private final HostContext host;
  private final RequestsInFlight inFlight = new RequestsInFlight();
  private Optional<CallerApi> callerApi = Optional.empty();
  private Optional<HttpPort> callerPort = Optional.empty();

  HttpStack(HostContext host) {
    this.host = host;
  }

  /**
   * Starts the proxy components if this host has the proxy role. The operator port is opened
   * separately, after the view client has started.
   */
  void startProxyIfConfigured() {
    if (host.settings.roles().contains(Role.PROXY)) {
      startProxy();
    }
  }

  private void startProxy() {
    DaemonSettings settings = host.settings;
    ViewHolder views = host.views;
    HttpConnector connector = new HttpConnector(host.newServerIoWorker(), host.workers);
    HttpServerAdmin admin = new HttpServerAdmin(connector);
    GroupMonitor monitor =
        new GroupMonitor(
            views, admin, host.clock, settings.monitorInterval(), settings.monitorIdleInterval());
    monitor.start(host.workers);
    WatcherService watchers =
        host.register(
            new WatcherService(
                settings.host(),
                views,
                admin,
                host.control,
                host.workers,
                host.clock,
                WatchOptions.DEFAULT));
    watchers.start();
    LeaseTable leases = new LeaseTable(host.clock);
    PacedConnector rateLimitedConnector =
        new PacedConnector(
            connector,
            host.clock,
            host.workers,
            () -> PacedConnector.ratePerProxy(proxyCount(views)),
            PacedConnector.DEFAULT_BURST);
    ServerPools pools = host.register(new ServerPools(rateLimitedConnector, leases));
    ReadStack reads =
        new ReadStack(
            settings.readOptions(),
            settings.zone(),
            views,
            monitor,
            pools,
            leases,
            host.workers,
            host.clock,
            synchronizedRandom(),
            host.registry);
    new LeaseClient(
            host.control,
            host.self,
            views,
            leases,
            pools,
            new PeakConnectionTarget(reads.limiters()::takePeakQueued))
        .start(host.controlWorkers);
    new ThreadDelayProbe(host.clock, host.ioWorker(), reads.metrics()::recordCallerThreadDelay)
        .start(host.workers);
    SessionTokens tokens = new SessionTokens(host.wallClock, settings.maxTokenAge());
    WriteStack writes =
        new WriteStack(
            host.self,
            views,
            host.viewClient,
            monitor,
            admin,
            pools,
            reads.limiters(),
            host.workers,
            host.clock,
            host.wallClock,
            host.links);
    writes.reportLostPrimariesTo(watchers);
    writes.serveLedger(host.dispatcher, inFlight);
    PoolLookup poolLookup =
        new PoolLookup(LeasedView.Source.of(views::current, host.viewClient::leaseValid));
    StatementService statements =
        new StatementService(
            views,
            poolLookup,
            tokens,
            new PoolLimits(),
            reads.path(),
            writes.writeExecutor(),
            monitor);
    TransactionService transactionService = host.register(writes.transactions());
    transactionService.start(host.workers);
    TransactionApi transactions =
        writes.serveTransactions(
            transactionService, poolLookup, tokens, host.dispatcher, host.links, inFlight);
    AnnouncementHandler announcements = new AnnouncementHandler(host.control);
    settings
        .announcementAddress()
        .ifPresent(
            address ->
                host.openDedicatedThreadPort("announcements", address, announcements.handler()));
    CallerApi api =
        new CallerApi(
            settings.host(),
            statements,
            transactions,
            announcements,
            () -> host.viewClient.leaseValid() && !inFlight.draining() && !drainingOrNoProxy(views),
            inFlight,
            new MetricsHandler(host.registry));
    callerApi = Optional.of(api);
    callerPort = Optional.of(openPort(TlsPort.CALLER, settings.callerAddress(), api.handler()));
  }

  private static long proxyCount(ViewHolder views) {
    return views.current().hosts().values().stream().filter(HostState::proxy).count();
  }

  /**
   * Returns whether operators drain this host by a change ticket or have removed its proxy role.
   */
  private boolean drainingOrNoProxy(ViewHolder views) {
    return Optional.ofNullable(views.current().hosts().get(host.settings.host()))
        .filter(host -> host.draining() || !host.proxy())
        .isPresent();
  }

  private RandomGenerator synchronizedRandom() {
    SplittableRandom random = new SplittableRandom(host.self.incarnation());
    return () -> {
      synchronized (random) {
        return random.nextLong();
      }
    };
  }

  void openOperatorPort() {
    if (host.settings.operatorAddress().isEmpty()) {
      return;
    }
    OperatorApi api =
        new OperatorApi(
            new RemoteControlGateway(host.control),
            host.views::current,
            host.settings.operatorKey().orElseThrow().value());
    openPort(TlsPort.OPERATOR, host.settings.operatorAddress().get(), api.handler());
  }

  private HttpPort openPort(TlsPort kind, InetSocketAddress address, HttpHandler handler) {
    String name = kind.name().toLowerCase(Locale.ROOT);
    return host.openPort(name, address, host.settings.tls().forPort(kind), handler);
  }

  /**
   * Waits for in-flight requests, then closes the caller port.
   *
   * <p>Without the wait, shutdown would cut off a write between its execution and its response, and
   * the caller could not tell whether the write ran. The port stays open meanwhile, so that new
   * requests are refused with the advice to use another host and the load balancer sees the drain
   * at {@code /ready}. After the port is closed, the remaining connections end with their next
   * response.
   */
  @Override
  public void drain() {
    CompletableFuture<Void> drained = inFlight.drain();
    log.info("event=drain-begin in-flight={}", inFlight.count());
    try {
      drained.get(host.settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS);
      // Connections stay open while the load balancer and callers switch to other hosts.
      TimeUnit.MILLISECONDS.sleep(host.settings.drainLinger().toMillis());
      callerPort.ifPresent(HttpPort::close);
      callerApi.ifPresent(CallerApi::closeKeepAliveConnections);
      // The next response on each keep-alive connection announces that the connection closes.
      TimeUnit.MILLISECONDS.sleep(host.settings.drainLinger().toMillis());
      log.info("event=drain-end reason=NOTHING_IN_FLIGHT");
    } catch (TimeoutException timeout) {
      log.warn("event=drain-end reason=TIMEOUT in-flight={}", inFlight.count());
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException failure) {
      log.error("event=drain-failed", failure);
    }
  }
}
