package org.alderyard.control.grant;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.generated.grant.ConnectionDemand;
import org.alderyard.protocol.generated.grant.ConnectionGrant;
import org.alderyard.protocol.generated.grant.RenewGrantsReply;
import org.alderyard.protocol.generated.grant.RenewGrantsRequest;
import org.alderyard.protocol.grant.GrantMethods;
import org.alderyard.protocol.wire.Dispatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Grants connections while this host leads.
 *
 * <p>Grants are not in the log: a new leader starts with empty ledgers and lets the old grants end.
 * A quorum confirms the leadership for each request, so that a replaced leader grants nothing whose
 * lease outlasts the quarantine of its successor. Lock: the object itself, a leaf.
 */
public final class GrantService {
  private static final Logger log = LoggerFactory.getLogger(GrantService.class);
  private static final long FIRST_TERM = 1;

  private final ControlLog controlLog;
  private final Supplier<View> views;
  private final GrantOptions options;
  private final MonotonicClock clock;
  // Guarded by this.
  private final Map<ServerId, GrantLedger> ledgers = new HashMap<>();
  private long ledgerTerm = -1;
  private long leaderSinceNanos;

  /** Creates a service over the view of the control state. */
  public GrantService(
      ControlLog controlLog, Supplier<View> views, GrantOptions options, MonotonicClock clock) {
    this.controlLog = Objects.requireNonNull(controlLog);
    this.views = Objects.requireNonNull(views);
    this.options = Objects.requireNonNull(options);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Adds the method of this service. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serve(GrantMethods.RENEW_GRANTS, (peer, request) -> renew(request));
  }

  /**
   * Returns how many connections more than leave room for a return of all hosts are granted, of all
   * servers together; 0 on a host that does not lead.
   */
  public synchronized int beyondReturnRoom() {
    if (!controlLog.leading()) {
      return 0;
    }
    long now = clock.nowNanos();
    View view = views.get();
    return ledgers.entrySet().stream()
        .mapToInt(entry -> entry.getValue().beyondReturnRoom(accepted(view, entry.getKey()), now))
        .sum();
  }

  private static int accepted(View view, ServerId server) {
    return view.server(server)
        .flatMap(state -> view.group(state.group()))
        .map(GroupState::connectionsPerServer)
        .orElse(0);
  }

  /** Renews the grants of one proxy. */
  public CompletableFuture<RenewGrantsReply> renew(RenewGrantsRequest request) {
    long term = controlLog.term();
    return controlLog.readBarrier().thenApply(confirmed -> renewInTerm(term, request));
  }

  private synchronized RenewGrantsReply renewInTerm(long term, RenewGrantsRequest request) {
    if (controlLog.term() != term || !controlLog.leading()) {
      throw AlderyardException.notRun(ErrorCode.NOT_LEADER, "the leadership moved on");
    }
    long now = clock.nowNanos();
    if (term != ledgerTerm) {
      ledgers.clear();
      ledgerTerm = term;
      // Before the first leader of a cluster there was none whose grants could still hold.
      leaderSinceNanos = term <= FIRST_TERM ? now - options.quarantine().toNanos() : now;
      log.info("event=grant-leader term={} quarantine={}", term, options.quarantine());
    }
    View view = views.get();
    ProxyId proxy = new ProxyId(new HostId(request.getHost()), request.getIncarnation());
    RenewGrantsReply.Builder reply =
        RenewGrantsReply.newBuilder()
            .setSequence(request.getSequence())
            .setLeaseMillis((int) options.lease().toMillis());
    for (ConnectionDemand demand : request.getDemandsList()) {
      reply.addGrants(grant(view, proxy, request.getSequence(), demand, now));
    }
    ledgers.values().removeIf(ledger -> ledger.unused(now));
    return reply.build();
  }

  private ConnectionGrant grant(
      View view, ProxyId proxy, long sequence, ConnectionDemand demand, long now) {
    ServerId id = new ServerId(demand.getServer());
    Optional<ServerState> server = view.server(id);
    Optional<GroupState> group = server.flatMap(state -> view.group(state.group()));
    int budget = group.map(GroupState::connectionsPerServer).orElse(0);
    boolean primary = group.flatMap(GroupState::primary).filter(id::equals).isPresent();
    boolean active = server.filter(state -> state.status() == ServerStatus.ACTIVE).isPresent();
    int granted =
        ledgers
            .computeIfAbsent(id, key -> new GrantLedger(options, leaderSinceNanos))
            .renew(
                budget,
                primary,
                proxy,
                sequence,
                demand.getHeld(),
                active ? demand.getWanted() : 0,
                now);
    if (granted != demand.getHeld()) {
      log.info(
          "event=grant server={} proxy={} held={} wanted={} granted={} budget={} primary={}",
          id,
          proxy.host(),
          demand.getHeld(),
          demand.getWanted(),
          granted,
          budget,
          primary);
    }
    return ConnectionGrant.newBuilder()
        .setServer(demand.getServer())
        .setConnections(granted)
        .build();
  }
}
