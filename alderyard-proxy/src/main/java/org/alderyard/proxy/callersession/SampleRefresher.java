package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;

/**
 * Requests the position of a primary when reads need a sample and no recent write returned one.
 *
 * <p>The request begins a read-write transaction and rolls it back: it takes no slot, and a
 * replaced primary refuses it.
 */
final class SampleRefresher {
  /** Fraction of the staleness limit after which the newest sample is refreshed. */
  private static final double REFRESH_FRACTION = 0.5;

  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /**
   * Minimum interval between two searches in a group, which limits the requests that get no answer.
   */
  private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final SessionContext context;
  private final Map<GroupId, Long> notBeforeNanos = new ConcurrentHashMap<>();
  private volatile Optional<PeerSamples> peerSamples = Optional.empty();

  SampleRefresher(SessionContext context) {
    this.context = context;
  }

  /**
   * Requests a position if the newest sample is missing or getting old. Called for each read with
   * bounded staleness.
   */
  void refreshIfDue(DatabaseState database, long nowNanos) {
    GroupRouting routing = context.routings().of(database.group());
    double dueNanos =
        TimeUnit.MILLISECONDS.toNanos(database.maxStalenessMillis()) * REFRESH_FRACTION;
    boolean due = routing.newestSampleAgeNanos(nowNanos).map(age -> age > dueNanos).orElse(true);
    Optional<GroupState> group = context.group(database.group());
    if (!due || group.isEmpty()) {
      return;
    }
    searchPrimary(group.get());
    if (routing.primaryUnavailable(group.get(), nowNanos)) {
      peerSamples.ifPresent(samples -> samples.requestSamples(database.group(), nowNanos));
    }
  }

  /** Also requests samples from other hosts when the primary is unavailable. */
  void setPeerSamples(PeerSamples samples) {
    peerSamples = Optional.of(samples);
  }

  /**
   * Probes the presumed primary even if it recently failed.
   *
   * <p>The probe takes no slot, so a slow server answers it; a server that does not answer has
   * failed.
   */
  void probePrimary(GroupState group, long nowNanos) {
    startSearch(group, nowNanos, server -> true);
  }

  /** Searches for the primary if no primary is known or the presumed primary does not answer. */
  void searchPrimary(GroupState group) {
    long now = context.clock().nowNanos();
    GroupRouting routing = context.routings().of(group.id());
    startSearch(group, now, server -> !routing.inBackoff(server, now));
  }

  private void startSearch(GroupState group, long nowNanos, Predicate<ServerState> filter) {
    Long notBefore = notBeforeNanos.get(group.id());
    if (notBefore != null && nowNanos - notBefore < 0) {
      return;
    }
    notBeforeNanos.put(group.id(), nowNanos + MIN_INTERVAL_NANOS);
    tryNextServer(group, nowNanos, filter, Set.of());
  }

  /**
   * Asks the most likely primary, and the next server if that server is not the primary or does not
   * answer.
   *
   * @param triedServers the servers that were already asked
   */
  private void tryNextServer(
      GroupState group, long nowNanos, Predicate<ServerState> filter, Set<ServerId> triedServers) {
    GroupRouting routing = context.routings().of(group.id());
    routing.primaryCandidates(context.servers(group.id()), group, nowNanos).stream()
        .filter(filter)
        .filter(server -> !triedServers.contains(server.id()))
        .findFirst()
        .ifPresent(
            server -> {
              Set<ServerId> nowTried = new HashSet<>(triedServers);
              nowTried.add(server.id());
              connect(
                  routing,
                  group,
                  server,
                  () -> tryNextServer(group, context.clock().nowNanos(), filter, nowTried));
            });
  }

  private void connect(
      GroupRouting routing, GroupState group, ServerState server, Runnable tryNext) {
    context
        .pools()
        .acquire(server, TIMEOUT)
        .whenComplete(
            (session, failure) -> {
              if (failure == null) {
                probe(routing, group, server, session, tryNext);
              } else if (!StatementRun.isConnectionLimit(Futures.unwrap(failure))) {
                routing.failed(server, context.clock().nowNanos());
                tryNext.run();
              }
            });
  }

  private void probe(
      GroupRouting routing,
      GroupState group,
      ServerState server,
      PooledSession session,
      Runnable tryNext) {
    long sentNanos = context.clock().nowNanos();
    session
        .run(List.of(SessionRequest.internal(new Begin(false))), TIMEOUT)
        .whenComplete(
            (replies, failure) -> {
              if (failure != null) {
                routing.failed(server, context.clock().nowNanos());
                context.discard(server, session);
                tryNext.run();
                return;
              }
              SessionReply reply = replies.get(0);
              long now = context.clock().nowNanos();
              routing.answered(server, now, now - sentNanos, false, reply.position());
              if (reply.succeeded()) {
                routing.confirmPrimary(server);
                reply.position().ifPresent(position -> routing.addSample(sentNanos, position));
              } else if (reply.refusedWith(RefusalCode.NOT_PRIMARY)) {
                routing.recordNotPrimary(server, group);
                tryNext.run();
              }
              context.rollBackAndRelease(server, session);
            });
  }
}
