package org.alderyard.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import javax.net.ssl.SSLContext;
import org.alderyard.backend.http.HttpConnector;
import org.alderyard.backend.http.HttpServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.http.HttpPort;
import org.alderyard.common.http.MetricsHandler;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.control.failover.DirectorOptions;
import org.alderyard.control.failover.FailoverObserver;
import org.alderyard.control.failover.FailoverService;
import org.alderyard.control.failover.FailoverTable;
import org.alderyard.control.grant.GrantOptions;
import org.alderyard.control.grant.GrantService;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.log.LocalLog;
import org.alderyard.control.log.LogListener;
import org.alderyard.control.log.ReplicatedLog;
import org.alderyard.control.operator.OperatorApi;
import org.alderyard.control.operator.RemoteControlGateway;
import org.alderyard.control.service.ControlService;
import org.alderyard.control.service.ViewFeed;
import org.alderyard.control.state.ControlState;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.EventLoops;
import org.alderyard.protocol.wire.InnerServer;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.protocol.wire.ProtocolOptions;
import org.alderyard.proxy.api.AnnouncementHandler;
import org.alderyard.proxy.api.CallerApi;
import org.alderyard.proxy.api.TransactionApi;
import org.alderyard.proxy.drain.RequestsInFlight;
import org.alderyard.proxy.lease.LeaseClient;
import org.alderyard.proxy.lease.LeaseTable;
import org.alderyard.proxy.limit.PoolLimits;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.pool.PacedConnector;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.read.ReadStack;
import org.alderyard.proxy.session.SessionTokens;
import org.alderyard.proxy.statement.StatementService;
import org.alderyard.proxy.transaction.TransactionService;
import org.alderyard.proxy.view.ViewClient;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.watch.WatchOptions;
import org.alderyard.proxy.watch.WatcherService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One process of the system, with the roles that its settings name. */
public final class Daemon implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(Daemon.class);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_OUTSTANDING = 4_096;
  private static final int INNER_THREADS = 2;

  private final DaemonSettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final InstantSource wallClock = InstantSource.system();
  // Closed in the opposite order of their start.
  private final Deque<AutoCloseable> parts = new ArrayDeque<>();
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final RequestsInFlight inFlight = new RequestsInFlight();
  private final CompletableFuture<AlderyardException> failure = new CompletableFuture<>();
  private final WorkerPool workers;
  private final XnioWorker ioWorker;
  private final PeerLinks links;
  private final ControlClient control;
  private final HostState self;

  /** Starts all parts; a part that can't start closes those before it. */
  public Daemon(DaemonSettings settings) {
    this.settings = settings;
    try {
      workers = part(new WorkerPool("worker", settings.workerThreads()));
      ioWorker = ioWorker();
      EventLoops loops = part(new EventLoops(INNER_THREADS));
      long incarnation = wallClock.millis();
      ProtocolOptions protocol =
          new ProtocolOptions(
              settings.clusterId(),
              settings.host(),
              incarnation,
              settings.clusterKey(),
              CONNECT_TIMEOUT,
              MAX_OUTSTANDING);
      links = part(new PeerLinks(loops, protocol));
      control = new ControlClient(links, settings.controlHosts(), workers);
      Dispatcher dispatcher = new Dispatcher();
      self = self(incarnation);
      ViewHolder views = new ViewHolder();
      Optional<ControlLog> controlLog =
          settings.roles().contains(Role.CONTROL)
              ? Optional.of(startControl(dispatcher))
              : Optional.empty();
      part(new InnerServer(loops, settings.innerAddress(), protocol, dispatcher, workers));
      // Closed before the port: a leader hands over while the others still reach it.
      controlLog.ifPresent(this::part);
      ViewClient viewClient = part(new ViewClient(control, self, views, workers, clock));
      if (settings.roles().contains(Role.PROXY)) {
        startProxy(views, viewClient, dispatcher);
      }
      // After the parts that listen to views: they must see the first one.
      viewClient.start();
      startOperators(views);
      log.info("event=started host={} roles={}", settings.host(), settings.roles());
    } catch (RuntimeException failure) {
      close();
      throw failure;
    }
  }

  private <T extends AutoCloseable> T part(T part) {
    parts.push(part);
    return part;
  }

  private XnioWorker ioWorker() {
    try {
      XnioWorker worker =
          Xnio.getInstance()
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, settings.ioThreads())
                      .set(Options.TCP_NODELAY, true)
                      .set(Options.THREAD_DAEMON, true)
                      .getMap());
      parts.push(worker::shutdownNow);
      return worker;
    } catch (java.io.IOException impossible) {
      throw new java.io.UncheckedIOException(impossible);
    }
  }

  private HostState self(long incarnation) {
    return new HostState(
        settings.host(),
        incarnation,
        settings.zone(),
        settings.innerAddress(),
        settings.callerAddress(),
        settings.roles().contains(Role.PROXY),
        settings.roles().contains(Role.CONTROL),
        false);
  }

  private ControlLog startControl(Dispatcher dispatcher) {
    ViewFeed feed = new ViewFeed(workers);
    FailoverTable failovers = new FailoverTable();
    ControlState state = new ControlState(feed::publish, failovers);
    ControlLog controlLog = part(controlLog(dispatcher, state));
    ControlService service = new ControlService(controlLog, state, feed, clock, wallClock);
    service.serve(dispatcher);
    service.start(workers);
    new GrantService(controlLog, state::view, GrantOptions.DEFAULT, clock).serve(dispatcher);
    startFailover(dispatcher, controlLog, state, failovers);
    return controlLog;
  }

  /** Without a data folder the state of a single control host lasts as long as its process. */
  private ControlLog controlLog(Dispatcher dispatcher, ControlState state) {
    if (settings.dataFolder().isEmpty()) {
      log.warn("event=log-volatile reason=no-data-folder");
      return new LocalLog(settings.host(), state);
    }
    return ReplicatedLog.builder()
        .clusterId(settings.clusterId())
        .host(settings.host(), settings.innerAddress())
        .members(settings.controlHosts())
        .dataFolder(settings.dataFolder().get())
        .machine(state)
        .network(links, dispatcher)
        .callbacks(workers)
        .clock(clock)
        .random(new SecureRandom())
        .listener(
            new LogListener() {
              @Override
              public void onFailure(AlderyardException cause) {
                workers.execute(() -> failure.complete(cause));
              }
            })
        .start();
  }

  /** Returns a future that is completed when a part failed so that the process must end. */
  public CompletableFuture<AlderyardException> failure() {
    return failure;
  }

  private void startFailover(
      Dispatcher dispatcher, ControlLog controlLog, ControlState state, FailoverTable failovers) {
    FailoverService service =
        part(
            new FailoverService(
                controlLog,
                failovers,
                state::view,
                new HttpServerAdmin(new HttpConnector(ioWorker, workers)),
                workers,
                clock,
                wallClock,
                DirectorOptions.DEFAULT,
                FailoverObserver.NONE));
    service.serve(dispatcher);
    service.start();
  }

  private void startProxy(ViewHolder views, ViewClient viewClient, Dispatcher dispatcher) {
    HttpConnector connector = new HttpConnector(ioWorker, workers);
    HttpServerAdmin admin = new HttpServerAdmin(connector);
    GroupMonitor monitor =
        new GroupMonitor(
            views, admin, clock, settings.monitorInterval(), settings.monitorIdleInterval());
    monitor.start(workers);
    WatcherService watchers =
        part(
            new WatcherService(
                settings.host(), views, admin, control, workers, clock, WatchOptions.DEFAULT));
    watchers.start();
    LeaseTable leases = new LeaseTable(clock);
    PacedConnector paced =
        new PacedConnector(
            connector,
            clock,
            workers,
            PacedConnector.DEFAULT_PER_SECOND,
            PacedConnector.DEFAULT_BURST);
    ServerPools pools = part(new ServerPools(paced, leases));
    ReadStack reads =
        new ReadStack(
            settings.readOptions(),
            settings.zone(),
            views,
            monitor,
            pools,
            leases,
            workers,
            clock,
            sharedRandom(),
            registry);
    new LeaseClient(control, self, views, leases, pools, reads.gates()::takePeakQueued)
        .start(workers);
    SessionTokens tokens = new SessionTokens(wallClock, settings.maxTokenAge());
    WriteStack writes =
        new WriteStack(
            self,
            views,
            viewClient,
            monitor,
            admin,
            pools,
            reads.gates(),
            workers,
            clock,
            wallClock,
            links);
    writes.feed(watchers);
    writes.serveLedger(dispatcher, inFlight);
    StatementService statements =
        new StatementService(
            views, tokens, new PoolLimits(), reads.path(), writes.ledgered(), monitor);
    TransactionService held = part(writes.transactions());
    held.start(workers);
    TransactionApi transactions =
        writes.serveTransactions(held, tokens, dispatcher, links, inFlight);
    CallerApi api =
        new CallerApi(
            settings.host(),
            statements,
            transactions,
            new AnnouncementHandler(control),
            () -> viewClient.leaseValid() && !inFlight.draining() && !drained(views),
            inFlight,
            new MetricsHandler(registry));
    port(TlsPort.CALLER, settings.callerAddress(), api.handler());
  }

  /** Operators drain a host by ticket, or take its role away. */
  private boolean drained(ViewHolder views) {
    return Optional.ofNullable(views.current().hosts().get(settings.host()))
        .filter(host -> host.draining() || !host.proxy())
        .isPresent();
  }

  private RandomGenerator sharedRandom() {
    SplittableRandom random = new SplittableRandom(self.incarnation());
    return () -> {
      synchronized (random) {
        return random.nextLong();
      }
    };
  }

  private void startOperators(ViewHolder views) {
    if (settings.operatorAddress().isEmpty()) {
      return;
    }
    OperatorApi api =
        new OperatorApi(
            new RemoteControlGateway(control),
            views::current,
            settings.operatorKey().orElseThrow().value());
    port(TlsPort.OPERATOR, settings.operatorAddress().get(), api.handler());
  }

  private void port(
      TlsPort kind, InetSocketAddress address, io.undertow.server.HttpHandler handler) {
    String name = kind.name().toLowerCase(Locale.ROOT);
    Optional<SSLContext> tls = settings.tls().forPort(kind);
    HttpPort port =
        part(new HttpPort(name, address, ioWorker, settings.httpLimits(), tls, handler));
    log.info("event=listening port={} address={} tls={}", name, port.address(), tls.isPresent());
  }

  /**
   * Waits for the requests in flight.
   *
   * <p>Guards against a shutdown that cuts a write off between its run and its answer: the caller
   * would not know whether its order ran. The port stays open meanwhile, so new requests are told
   * to go elsewhere, and the balancer sees it at {@code /ready}.
   */
  private void drain() {
    CompletableFuture<Void> drained = inFlight.drain();
    log.info("event=drain-begin in-flight={}", inFlight.count());
    try {
      drained.get(settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS);
      // Callers with a kept connection learn from their next answer that it ends.
      TimeUnit.MILLISECONDS.sleep(settings.drainLinger().toMillis());
      log.info("event=drain-end reason=NOTHING_IN_FLIGHT");
    } catch (TimeoutException late) {
      log.warn("event=drain-end reason=TIMEOUT in-flight={}", inFlight.count());
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException impossible) {
      log.error("event=drain-failed", impossible);
    }
  }

  @Override
  public void close() {
    drain();
    while (!parts.isEmpty()) {
      try {
        parts.pop().close();
      } catch (Exception failure) {
        log.warn("event=close-failed reason=\"{}\"", failure.toString());
      }
    }
  }
}
