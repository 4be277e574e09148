package org.alderyard.proxy.callersession;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnector;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.proxy.pool.ConnectionAllowance;
import org.alderyard.proxy.pool.ConnectionPools;
import org.alderyard.proxy.view.ViewHolder;

/** Opens callers' sessions, and ends what they leave behind. */
public final class SessionService {
  /** The pace at which idle transactions are looked for; a tenth of the usual bound of 3 s. */
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(300);

  private final SessionParts parts;
  private final SampleRefresher refresher;
  private final LocalStatements here;
  private final HeldStatements held;
  private final int maxSessions;
  private final long openingWaitMillis;
  private final boolean othersWait;
  private final Set<CallerSession> sessions = ConcurrentHashMap.newKeySet();
  private final CompletableFuture<Void> firstView = new CompletableFuture<>();
  private final CompletableFuture<Void> serving = new CompletableFuture<>();
  private volatile Forwarding forwarding = Forwarding.NONE;
  private volatile Optional<Holders> holders = Optional.empty();
  private volatile boolean draining;

  /**
   * Creates a service without a session.
   *
   * @param zone the availability zone of this host
   * @param viewConfirmed whether the control hosts have confirmed this host's view of late
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
      SessionLimits limits) {
    ConnectionPools<PooledSession> pools =
        new ConnectionPools<>(
            (server, timeout) -> connector.connect(server, timeout).thenApply(PooledSession::new),
            allowance,
            clock);
    GroupRoutings routings = new GroupRoutings(zone);
    SessionMetrics metrics = new SessionMetrics(registry);
    parts =
        new SessionParts(
            views,
            routings,
            pools,
            workers,
            clock,
            wallClock,
            metrics,
            viewConfirmed,
            new SampledLog(limits.routineLogSample()));
    refresher = new SampleRefresher(parts);
    here = new LocalStatements(parts, new ReadFloors(parts, refresher));
    held = new HeldStatements(here);
    routings.searchLeadBy(refresher::searchLead);
    registerGauges(metrics);
    maxSessions = limits.maxSessions();
    openingWaitMillis = limits.openingWait().toMillis();
    othersWait = !limits.afterFirstView().isZero();
    views.onChange(routings::follow);
    views.onChange(
        view -> {
          if (view.configuration().isPresent() && firstView.complete(null)) {
            startServing(limits.afterFirstView());
          }
        });
  }

  private void registerGauges(SessionMetrics metrics) {
    metrics.gauge("alderyard_sessions_open", "Sessions of callers.", sessions::size);
    metrics.gauge(
        "alderyard_configuration_number",
        "Number of the configuration that this host acts on.",
        () -> parts.views().current().configuration().map(ConfigurationState::number).orElse(0L));
    metrics.gauge(
        "alderyard_view_version",
        "Version of the view that this host acts on.",
        () -> parts.views().current().version().version());
    for (WaitingStatements.Need need : WaitingStatements.Need.values()) {
      metrics.gauge(
          "alderyard_session_waiting_" + need.name().toLowerCase(Locale.ROOT),
          "Statements that wait for a server of this kind.",
          () -> parts.routings().waiting(need));
    }
    metrics.gauge(
        "alderyard_session_transactions_held",
        "Open transactions of other hosts' callers on this host's connections.",
        held::openTransactions);
  }

  private void startServing(Duration later) {
    if (later.isZero()) {
      serving.complete(null);
    } else {
      parts.workers().schedule(later, () -> serving.complete(null));
    }
  }

  /** Starts to look for idle transactions. */
  public void start() {
    parts.workers().scheduleRepeatedly(SWEEP_INTERVAL, this::sweep);
  }

  private void sweep() {
    long now = parts.clock().nowNanos();
    sessions.forEach(session -> session.endIdleTransaction(now));
    held.sweep(now);
  }

  /** Starts to tell the control leader what this host sees of the primaries. */
  public void startReports(ControlClient control, HostId self) {
    new PrimaryReporter(control, self, parts, refresher).start();
  }

  /**
   * Works with the other hosts: gives and takes samples of primaries, runs statements over this
   * host's connections for the others, and passes on those whose group others hold.
   *
   * @param links for questions between hosts
   * @param statementLinks for callers' statements
   */
  public void joinHosts(
      Dispatcher dispatcher, PeerLinks links, PeerLinks statementLinks, HostState self) {
    Holders all =
        new Holders(
            self.id(), self.zone(), host -> statementLinks.to(host.innerAddress()).isConnected());
    PeerSamples peers = new PeerSamples(links, all, parts);
    peers.serve(dispatcher);
    refresher.askPeers(peers);
    held.serve(dispatcher);
    joinHosts(all, new LinkedHolders(statementLinks), self);
  }

  void joinHosts(Holders all, HolderCalls calls, HostState self) {
    holders = Optional.of(all);
    forwarding = new HolderForwarding(parts, all, calls, self);
  }

  HeldStatements held() {
    return held;
  }

  /** Returns how many connections to a server this host may open before it has a lease. */
  public int firstConnections(ServerId server) {
    View view = parts.views().current();
    return view.server(server)
        .flatMap(state -> holders.map(all -> all.firstConnections(view, state.group())))
        .orElse(1);
  }

  SessionParts parts() {
    return parts;
  }

  /** Returns the pools, whose size the host's leases set. */
  public ConnectionPools<?> pools() {
    return parts.pools();
  }

  /** Returns a future that is done with the first view, or when the time is over. */
  public CompletableFuture<Void> firstView(Duration limit) {
    return firstView.copy().completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Returns why a session can't be opened, once that is known.
   *
   * <p>Guards against callers who use up their tries on a host that has just started: its first
   * view comes within some tenths of a second, and one that is refused until then may have no time
   * left.
   *
   * @return empty if a session may be opened
   */
  public CompletableFuture<Optional<Refusal>> admission(String database) {
    if (draining || serving.isDone()) {
      return CompletableFuture.completedFuture(refusal(database));
    }
    return servingSoon().thenApply(waited -> refusal(database));
  }

  private CompletableFuture<Void> servingSoon() {
    return serving.copy().completeOnTimeout(null, openingWaitMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task once callers may come: at once, or, on a host that others wait for, once sessions
   * can be opened or it is time to tell that they can't.
   */
  public void whenCallersMayCome(Runnable task) {
    if (othersWait) {
      servingSoon().thenRun(task);
    } else {
      task.run();
    }
  }

  /** Returns why a session on this database can't be opened now, if it can't. */
  public Optional<Refusal> refusal(String database) {
    if (draining || sessions.size() >= maxSessions) {
      return Optional.of(
          new Refusal(RefusalCode.BUSY, draining ? "this host shuts down" : "too many sessions"));
    }
    Optional<ConfigurationState> configuration = parts.views().current().configuration();
    if (configuration.isEmpty()) {
      return Optional.of(new Refusal(RefusalCode.BUSY, "no configuration yet"));
    }
    return configuration.get().database(database).isPresent()
        ? Optional.empty()
        : Optional.of(parts.unknown(database));
  }

  /** Opens a session. */
  public CallerSession open(String database) {
    CallerSession session = new CallerSession(here, forwarding, database);
    sessions.add(session);
    return session;
  }

  /** Ends a session, and its transaction with it. */
  public void close(CallerSession session) {
    sessions.remove(session);
    session.close();
  }

  /** Begins no new work for other hosts any more; what is open goes on. */
  public void stopHolding() {
    held.stop();
  }

  /** Ends the open transactions of other hosts' callers. */
  public void abortHeld() {
    held.abort();
  }

  /** Returns how many transactions of other hosts' callers are open. */
  public int heldTransactions() {
    return held.openTransactions();
  }

  /** Takes no new sessions any more. */
  public void drain() {
    draining = true;
  }

  /**
   * Returns whether this host has what it needs to serve.
   *
   * <p>Guards against a balancer that goes on sending callers to a host that is cut off from the
   * control hosts and from a primary. When all hosts are, the balancer uses all of them.
   */
  public boolean ready() {
    View view = parts.views().current();
    return !draining && view.configuration().isPresent() && !isolated(view);
  }

  private boolean isolated(View view) {
    if (parts.viewConfirmed().getAsBoolean()) {
      return false;
    }
    long now = parts.clock().nowNanos();
    return view.groups().values().stream()
        .anyMatch(
            group ->
                new Outlook(
                        true, false, parts.routings().of(group.id()).primaryLostNanos(group, now))
                    .hopeless());
  }

  /** Returns how many sessions are open. */
  public int sessionCount() {
    return sessions.size();
  }
}
