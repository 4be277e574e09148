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
 * Grants connections to proxies while this host is the leader of the control log.
 *
 * <p>Grants are not replicated in the log. A new leader starts with empty ledgers and waits until
 * earlier grants have expired. A quorum confirms the leadership for each request, so that a
 * replaced leader cannot issue a grant whose lease outlasts the quarantine of its successor. The
 * class is thread-safe; its lock is the instance, a leaf in the lock order.
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

  /** Creates a service that reads servers and groups from the view of the control state. */
  public GrantService(
      ControlLog controlLog, Supplier<View> views, GrantOptions options, MonotonicClock clock) {
    this.controlLog = Objects.requireNonNull(controlLog);
    this.views = Objects.requireNonNull(views);
    this.options = Objects.requireNonNull(options);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Registers the method for renewing grants. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serve(GrantMethods.RENEW_GRANTS, (peer, request) -> renew(request));
  }

  /**
   * Returns how many granted connections, summed over all servers, exceed the count that lets all
   * hosts reconnect after a power loss; 0 on a host that is not the leader.
   */
  public synchronized int grantedBeyondHeadroom() {
    if (!controlLog.isLeader()) {
      return 0;
    }
    long now = clock.nowNanos();
    View view = views.get();
    return ledgers.entrySet().stream()
        .mapToInt(
            entry ->
                entry
                    .getValue()
                    .grantedBeyondHeadroom(acceptedConnections(view, entry.getKey()), now))
        .sum();
  }

  private static int acceptedConnections(View view, ServerId server) {
    return view.server(server)
        .flatMap(state -> view.group(state.group()))
        .map(GroupState::connectionsPerServer)
        .orElse(0);
  }

  /**
   * Renews the grants of one proxy. The future fails with {@link ErrorCode#NOT_LEADER} if the
   * leadership changes before the request is processed.
   */
  public CompletableFuture<RenewGrantsReply> renew(RenewGrantsRequest request) {
    long term = controlLog.term();
    return controlLog.readBarrier().thenApply(confirmed -> renewInTerm(term, request));
  }

  private synchronized RenewGrantsReply renewInTerm(long term, RenewGrantsRequest request) {
    if (controlLog.term() != term || !controlLog.isLeader()) {
      throw AlderyardException.notRun(
          ErrorCode.NOT_LEADER, "the leadership changed before the grants were renewed");
    }
    long now = clock.nowNanos();
    if (term != ledgerTerm) {
      ledgers.clear();
      ledgerTerm = term;
      // In the first term of a cluster no earlier leader exists whose grants could still be valid.
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
    ledgers.values().removeIf(ledger -> ledger.isUnused(now));
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
                active ? demand.getUseful() : 0,
                now);
    if (granted != demand.getHeld()) {
      log.info(
          "event=grant server={} proxy={} held={} wanted={} useful={} granted={} budget={}"
              + " primary={}",
          id,
          proxy.host(),
          demand.getHeld(),
          demand.getWanted(),
          demand.getUseful(),
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
