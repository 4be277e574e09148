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
import org.alderyard.proxy.view.PoolLookup;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.watch.WatchOptions;
import org.alderyard.proxy.watch.WatcherService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The parts of a proxy that speaks the product's own HTTP interface, and the operators' port. */
final class HttpStack implements Drainable {
  private static final Logger log = LoggerFactory.getLogger(HttpStack.class);

  private final HostContext host;
  private final RequestsInFlight inFlight = new RequestsInFlight();
  private Optional<CallerApi> callerApi = Optional.empty();
  private Optional<HttpPort> callerPort = Optional.empty();

  HttpStack(HostContext host) {
    this.host = host;
  }

  /** Starts what the roles of the settings ask for; operators' port comes after the first view. */
  void startProxyIfAsked() {
    if (host.settings.roles().contains(Role.PROXY)) {
      startProxy();
    }
  }

  private void startProxy() {
    DaemonSettings settings = host.settings;
    ViewHolder views = host.views;
    HttpConnector connector = new HttpConnector(host.serverIo(), host.workers);
    HttpServerAdmin admin = new HttpServerAdmin(connector);
    GroupMonitor monitor =
        new GroupMonitor(
            views, admin, host.clock, settings.monitorInterval(), settings.monitorIdleInterval());
    monitor.start(host.workers);
    WatcherService watchers =
        host.part(
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
    PacedConnector paced =
        new PacedConnector(
            connector,
            host.clock,
            host.workers,
            () -> PacedConnector.ratePerProxy(proxies(views)),
            PacedConnector.DEFAULT_BURST);
    ServerPools pools = host.part(new ServerPools(paced, leases));
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
            sharedRandom(),
            host.registry);
    new LeaseClient(
            host.control,
            host.self,
            views,
            leases,
            pools,
            new PeakConnectionTarget(reads.limiters()::takePeakQueued))
        .start(host.controlWorkers);
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
    writes.feed(watchers);
    writes.serveLedger(host.dispatcher, inFlight);
    PoolLookup poolLookup = new PoolLookup(host.viewClient::leaseValid);
    StatementService statements =
        new StatementService(
            views,
            poolLookup,
            tokens,
            new PoolLimits(),
            reads.path(),
            writes.writeExecutor(),
            monitor);
    TransactionService held = host.part(writes.transactions());
    held.start(host.workers);
    TransactionApi transactions =
        writes.serveTransactions(held, poolLookup, tokens, host.dispatcher, host.links, inFlight);
    AnnouncementHandler announcements = new AnnouncementHandler(host.control);
    settings
        .announcementAddress()
        .ifPresent(
            address -> host.ownThreadPort("announcements", address, announcements.handler()));
    CallerApi api =
        new CallerApi(
            settings.host(),
            statements,
            transactions,
            announcements,
            () -> host.viewClient.leaseValid() && !inFlight.draining() && !drained(views),
            inFlight,
            new MetricsHandler(host.registry));
    callerApi = Optional.of(api);
    callerPort = Optional.of(port(TlsPort.CALLER, settings.callerAddress(), api.handler()));
  }

  private static long proxies(ViewHolder views) {
    return views.current().hosts().values().stream().filter(HostState::proxy).count();
  }

  /** Operators drain a host by ticket, or take its role away. */
  private boolean drained(ViewHolder views) {
    return Optional.ofNullable(views.current().hosts().get(host.settings.host()))
        .filter(host -> host.draining() || !host.proxy())
        .isPresent();
  }

  private RandomGenerator sharedRandom() {
    SplittableRandom random = new SplittableRandom(host.self.incarnation());
    return () -> {
      synchronized (random) {
        return random.nextLong();
      }
    };
  }

  void startOperators() {
    if (host.settings.operatorAddress().isEmpty()) {
      return;
    }
    OperatorApi api =
        new OperatorApi(
            new RemoteControlGateway(host.control),
            host.views::current,
            host.settings.operatorKey().orElseThrow().value());
    port(TlsPort.OPERATOR, host.settings.operatorAddress().get(), api.handler());
  }

  private HttpPort port(TlsPort kind, InetSocketAddress address, HttpHandler handler) {
    String name = kind.name().toLowerCase(Locale.ROOT);
    return host.port(name, address, host.settings.tls().forPort(kind), handler);
  }

  /**
   * Waits for the requests in flight.
   *
   * <p>Guards against a shutdown that cuts a write off between its run and its answer: the caller
   * would not know whether its order ran. The port stays open meanwhile, so new requests are told
   * to go elsewhere, and the balancer sees it at {@code /ready}. Then the port closes, and the
   * connections that are left are ended by their next answers.
   */
  @Override
  public void drain() {
    CompletableFuture<Void> drained = inFlight.drain();
    log.info("event=drain-begin in-flight={}", inFlight.count());
    try {
      drained.get(host.settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS);
      // The balancer and the callers turn to other hosts; meanwhile connections are kept.
      TimeUnit.MILLISECONDS.sleep(host.settings.drainLinger().toMillis());
      callerPort.ifPresent(HttpPort::close);
      callerApi.ifPresent(CallerApi::closeKeepAliveConnections);
      // Callers with a kept connection learn from their next answer that it ends.
      TimeUnit.MILLISECONDS.sleep(host.settings.drainLinger().toMillis());
      log.info("event=drain-end reason=NOTHING_IN_FLIGHT");
    } catch (TimeoutException late) {
      log.warn("event=drain-end reason=TIMEOUT in-flight={}", inFlight.count());
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException impossible) {
      log.error("event=drain-failed", impossible);
    }
  }
}
