package org.alderyard.proxy.callersession;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnector;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.log.LogLimiter;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.start.StartStage;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.proxy.pool.ConnectionAllowance;
import org.alderyard.proxy.pool.ConnectionPools;
import org.alderyard.proxy.pool.ConnectionSharing;
import org.alderyard.proxy.quota.OrganisationLimiter;
import org.alderyard.proxy.serverhealth.HealthOptions;
import org.alderyard.proxy.view.HeartbeatExtension;
import org.alderyard.proxy.view.LeasedView;
import org.alderyard.proxy.view.ViewGate;
import org.alderyard.proxy.view.ViewHolder;

/** Opens and closes caller sessions, and rolls back their idle transactions. */
public final class SessionService {
  private static final int MAX_REFUSAL_LINES_PER_SECOND = 50;

  /** Interval of the check for idle transactions: a tenth of the usual idle limit of 3 s. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(300);

  private final ConnectionSharing connectionSharing;
  private final SessionContext context;
  private final SampleRefresher refresher;
  private final LocalStatements local;
  private final HeldStatements heldStatements;
  private final OperationLimiter operationLimiter;
  private final int maxSessions;
  private final long admissionTimeoutMillis;
  private final StartAdmission startAdmission;
  private final long startMillis;
  private final boolean delaysServing;
  private final Set<CallerSession> sessions = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean viewReceived = new AtomicBoolean();
  private final CompletableFuture<Void> servingStarted = new CompletableFuture<>();
  private volatile StatementForwarder forwarder = StatementForwarder.NONE;
  private volatile Optional<HolderSelector> holderSelector = Optional.empty();
  private volatile boolean draining;

  /**
   * Creates a service without sessions.
   *
   * @param zone the availability zone of this host
   * @param viewConfirmed whether the control hosts have recently confirmed this host's view
   * @param startLog records the stages up to the first statement
   */
  public SessionService(
      ViewHolder views,
      ZoneName zone,
      SessionConnector connector,
      ConnectionAllowance allowance,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock,
      PrometheusRegistry registry,
      BooleanSupplier viewConfirmed,
      SessionLimits limits,
      StartLog startLog) {
    ConnectionPools<PooledSession> pools =
        new ConnectionPools<>(
            (server, owner, timeout) ->
                connector
                    .connect(server, owner, timeout)
                    .thenApply(connection -> new PooledSession(connection, owner)),
            allowance,
            clock,
            limits.connectionSharing(),
            PriorityWeights.of(limits.connectionSharing(), views));
    connectionSharing = limits.connectionSharing();
    HostAdmission admission = new HostAdmission(limits.admission(), clock, registry);
    GroupRoutings routings =
        new GroupRoutings((group, health) -> admission.newRouting(zone, startLog, health));
    SessionMetrics metrics = new SessionMetrics(registry);
    context =
        new SessionContext(
            views,
            routings,
            pools,
            workers,
            clock,
            wallClock,
            metrics,
            LeasedView.Source.of(views::current, viewConfirmed),
            new OperationGate(),
            new LogSampler(limits.routineLogSample()),
            new LogLimiter(MAX_REFUSAL_LINES_PER_SECOND),
            startLog,
            admission);
    refresher = new SampleRefresher(context);
    operationLimiter = new OperationLimiter(views);
    local = new LocalStatements(context, new ReadFloors(context, refresher), operationLimiter);
    heldStatements = new HeldStatements(local);
    routings.setPrimarySearch(refresher::searchPrimary);
    registerGauges(metrics);
    maxSessions = limits.maxSessions();
    admissionTimeoutMillis = limits.admissionTimeout().toMillis();
    startAdmission = new StartAdmission(limits.startOpenings(), limits.admissionTimeout());
    startMillis = clock.nowMillis();
    delaysServing = !limits.servingDelay().isZero();
    views.onChange(view -> routings.onViewChange(view, clock.nowNanos()));
    views.onChange(
        view -> {
          if (view.configuration().isPresent() && viewReceived.compareAndSet(false, true)) {
            startLog.reached(StartStage.VIEW);
            startServing(limits.servingDelay());
          }
        });
  }

  private void registerGauges(SessionMetrics metrics) {
    metrics.gauge("alderyard_sessions_open", "Sessions of callers.", sessions::size);
    metrics.gauge(
        "alderyard_configuration_number",
        "Number of the configuration that this host acts on.",
        () -> context.views().current().configuration().map(ConfigurationState::number).orElse(0L));
    metrics.gauge(
        "alderyard_view_version",
        "Version of the view that this host acts on.",
        () -> context.views().current().version().version());
    for (WaitingStatements.Need need : WaitingStatements.Need.values()) {
      metrics.gauge(
          "alderyard_session_waiting_" + need.name().toLowerCase(Locale.ROOT),
          "Statements that wait for a server of this kind.",
          () -> context.routings().queuedCount(need));
    }
    metrics.gauge(
        "alderyard_session_connections_replaced",
        "Connections closed to open one of another organisation in their place.",
        context.pools()::replacedConnections);
    metrics.gauge(
        "alderyard_session_transactions_held",
        "Open transactions of other hosts' callers on this host's connections.",
        heldStatements::openTransactionCount);
  }

  private void startServing(Duration delay) {
    if (delay.isZero()) {
      servingStarted.complete(null);
    } else {
      context.workers().schedule(delay, () -> servingStarted.complete(null));
    }
  }

  /**
   * Selects servers by their health; called before {@link #start()}.
   *
   * @return the part of heartbeats in which hosts share what they observe of servers
   */
  public HeartbeatExtension useServerHealth(HealthOptions options, HostId self) {
    context.routings().useHealth(options, self);
    return HealthExchange.start(context, options);
  }

  /** Starts the periodic check for idle transactions. */
  public void start() {
    context.workers().scheduleRepeatedly(IDLE_CHECK_INTERVAL, this::endIdleTransactions);
  }

  private void endIdleTransactions() {
    long now = context.clock().nowNanos();
    sessions.forEach(session -> session.endIdleTransaction(now));
    heldStatements.endAbandoned(now);
  }

  /** Starts to report to the control leader whether the primaries respond. */
  public void startPrimaryReports(ControlClient control, HostId self) {
    new PrimaryReporter(control, self, context, refresher).start();
  }

  /**
   * Connects this service to the other hosts: exchanges position samples of primaries, runs
   * statements of other hosts over this host's connections, and forwards statements whose group is
   * held by others.
   *
   * @param links for requests between hosts
   * @param statementLinks for callers' statements
   */
  public void connectToHosts(
      Dispatcher dispatcher, PeerLinks links, PeerLinks statementLinks, HostState self) {
    HolderSelector selector =
        new HolderSelector(
            self.id(),
            self.zone(),
            host -> statementLinks.linkTo(host.innerAddress()).isConnected(),
            connectionSharing);
    PeerSamples peerSamples = new PeerSamples(links, selector, context);
    peerSamples.serve(dispatcher);
    refresher.setPeerSamples(peerSamples);
    heldStatements.registerMethods(dispatcher);
    connectToHosts(selector, new PeerLinkHolderClient(statementLinks), self);
  }

  void connectToHosts(HolderSelector selector, HolderClient client, HostState self) {
    holderSelector = Optional.of(selector);
    forwarder = new HolderForwarder(context, selector, client, self);
  }

  /** Limits the operations of organisations. */
  public void limitOperations(OrganisationLimiter limiter) {
    operationLimiter.limitWith(limiter);
  }

  /** Holds operations while it is open whether the view of this host is current. */
  public void holdOperations(ViewGate gate) {
    context.gate().holdWith(gate);
  }

  HeldStatements heldStatements() {
    return heldStatements;
  }

  /** Returns how many connections to a server this host may open before it has a lease. */
  public int initialConnections(ServerId server) {
    View view = context.views().current();
    return view.server(server)
        .flatMap(
            state -> holderSelector.map(current -> current.initialConnections(view, state.group())))
        .orElse(1);
  }

  SessionContext context() {
    return context;
  }

  /** Returns the connection pools; the host's leases set their sizes. */
  public ConnectionPools<?> pools() {
    return context.pools();
  }

  /**
   * Returns why a session can't be opened, as soon as that is known.
   *
   * <p>On a host that has just started, waits until the host serves callers, so that callers don't
   * use up their retries: the first view arrives within some tenths of a second, and a caller that
   * was refused before may have no time left.
   *
   * @return a future that is empty if a session may be opened
   */
  public CompletableFuture<Optional<Refusal>> admission(String database, CallerIdentity identity) {
    if (draining || servingStarted.isDone()) {
      return refusalByCurrentView(database, identity);
    }
    return awaitServing(startAdmission.maxWait().toMillis())
        .thenCompose(ignored -> refusalByCurrentView(database, identity));
  }

  private CompletableFuture<Optional<Refusal>> refusalByCurrentView(
      String database, CallerIdentity identity) {
    return context.gate().pass().thenApply(held -> held.or(() -> refusal(database, identity)));
  }

  private CompletableFuture<Void> awaitServing(long timeoutMillis) {
    return servingStarted.copy().completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task when callers may connect: immediately, or, on a host with a serving delay, as soon
   * as sessions can be opened or the admission timeout has passed.
   */
  public void whenServing(Runnable task) {
    if (delaysServing) {
      awaitServing(admissionTimeoutMillis).thenRun(task);
    } else {
      task.run();
    }
  }

  /** Returns why a session on this database can't be opened now; empty if it can. */
  Optional<Refusal> refusal(String database, CallerIdentity identity) {
    if (draining || sessions.size() >= maxSessions) {
      return Optional.of(
          new Refusal(
              RefusalCode.BUSY,
              draining ? "this host is shutting down" : "too many open sessions"));
    }
    Optional<ConfigurationState> configuration = context.views().current().configuration();
    if (configuration.isEmpty()) {
      return Optional.of(
          startAdmission.refusal(
              context.clock().nowMillis() - startMillis, ThreadLocalRandom.current().nextDouble()));
    }
    return new SessionAccess(context, database, identity).decide().refusal();
  }

  /** Opens a session. */
  public CallerSession open(String database, CallerIdentity identity) {
    SessionAccess access = new SessionAccess(context, database, identity);
    CallerSession session = new CallerSession(local, forwarder, access);
    sessions.add(session);
    return session;
  }

  /** Closes a session and rolls back its open transaction. */
  public void close(CallerSession session) {
    sessions.remove(session);
    session.close();
  }

  /** Refuses new statements and transactions of other hosts; open transactions continue. */
  public void stopAcceptingForwarded() {
    heldStatements.stopAccepting();
  }

  /** Rolls back the open transactions of other hosts' callers. */
  public void rollBackHeldTransactions() {
    heldStatements.rollBackAll();
  }

  /** Returns the number of open transactions of other hosts' callers. */
  public int heldTransactionCount() {
    return heldStatements.openTransactionCount();
  }

  /** Refuses new sessions; open sessions continue. */
  public void drain() {
    draining = true;
  }

  /**
   * Returns whether this host is ready to serve callers.
   *
   * <p>A host that is disconnected from the control hosts and from a primary is not ready, so that
   * the load balancer sends callers to other hosts. If no host is ready, the load balancer uses all
   * of them.
   */
  public boolean ready() {
    LeasedView leased = context.leasedViews().read();
    return !draining && leased.view().configuration().isPresent() && !isIsolated(leased);
  }

  private boolean isIsolated(LeasedView leased) {
    if (leased.leaseValid()) {
      return false;
    }
    long now = context.clock().nowNanos();
    return leased.view().groups().values().stream()
        .anyMatch(
            group ->
                new ServerSearchPolicy(
                        true,
                        false,
                        context.routings().of(group.id()).primaryUnresponsiveNanos(group, now))
                    .isIsolated());
  }

  /** Returns the number of open sessions. */
  public int sessionCount() {
    return sessions.size();
  }
}
