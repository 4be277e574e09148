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
 * Asks a primary for its position when reads need one and no write brought one for a while.
 *
 * <p>The question is a transaction that could write, begun and rolled back: it takes no slot, and a
 * primary that was replaced refuses it.
 */
final class SampleRefresher {
  /** The part of the age bound after which the newest sample is replaced. */
  private static final double DUE_SHARE = 0.5;

  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /** The pause between two questions that get no answer. */
  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final SessionParts parts;
  private final Map<GroupId, Long> notBeforeNanos = new ConcurrentHashMap<>();
  private volatile Optional<PeerSamples> peers = Optional.empty();

  SampleRefresher(SessionParts parts) {
    this.parts = parts;
  }

  /** A read of a bounded age comes; asks for a position if the last one is getting old. */
  void used(DatabaseState database, long nowNanos) {
    GroupRouting routing = parts.routings().of(database.group());
    double dueNanos = TimeUnit.MILLISECONDS.toNanos(database.maxStalenessMillis()) * DUE_SHARE;
    boolean due = routing.newestSampleAgeNanos(nowNanos).map(age -> age > dueNanos).orElse(true);
    Optional<GroupState> group = parts.group(database.group());
    if (!due || group.isEmpty()) {
      return;
    }
    searchLead(group.get());
    if (routing.primaryOutOfReach(group.get(), nowNanos)) {
      peers.ifPresent(others -> others.ask(database.group(), nowNanos));
    }
  }

  /** Turns to other hosts as well when the primary is out of reach. */
  void askPeers(PeerSamples others) {
    peers = Optional.of(others);
  }

  /**
   * Asks the believed primary although it failed lately.
   *
   * <p>A slow server answers this question, as it takes no slot; one that does not is lost.
   */
  void askAgain(GroupState group, long nowNanos) {
    ask(group, nowNanos, server -> true);
  }

  /** Looks for the primary: nobody is believed to lead, or the one that is gives no answers. */
  void searchLead(GroupState group) {
    long now = parts.clock().nowNanos();
    GroupRouting routing = parts.routings().of(group.id());
    ask(group, now, server -> !routing.paused(server, now));
  }

  private void ask(GroupState group, long nowNanos, Predicate<ServerState> usable) {
    Long notBefore = notBeforeNanos.get(group.id());
    if (notBefore != null && nowNanos - notBefore < 0) {
      return;
    }
    notBeforeNanos.put(group.id(), nowNanos + PAUSE_NANOS);
    askNext(group, nowNanos, usable, Set.of());
  }

  /**
   * Asks the server that leads most likely, and the next one if it does not lead or answer.
   *
   * @param asked the servers that were asked already
   */
  private void askNext(
      GroupState group, long nowNanos, Predicate<ServerState> usable, Set<ServerId> asked) {
    GroupRouting routing = parts.routings().of(group.id());
    routing.primaryOrder(parts.servers(group.id()), group, nowNanos).stream()
        .filter(usable)
        .filter(server -> !asked.contains(server.id()))
        .findFirst()
        .ifPresent(
            server -> {
              Set<ServerId> next = new HashSet<>(asked);
              next.add(server.id());
              connect(
                  routing,
                  group,
                  server,
                  () -> askNext(group, parts.clock().nowNanos(), usable, next));
            });
  }

  private void connect(
      GroupRouting routing, GroupState group, ServerState server, Runnable elsewhere) {
    parts
        .pools()
        .take(server, TIMEOUT)
        .whenComplete(
            (session, failure) -> {
              if (failure == null) {
                question(routing, group, server, session, elsewhere);
              } else if (!StatementRun.ownLimit(Futures.unwrap(failure))) {
                routing.failed(server, parts.clock().nowNanos());
                elsewhere.run();
              }
            });
  }

  private void question(
      GroupRouting routing,
      GroupState group,
      ServerState server,
      PooledSession session,
      Runnable elsewhere) {
    long asked = parts.clock().nowNanos();
    session
        .run(List.of(SessionRequest.own(new Begin(false))), TIMEOUT)
        .whenComplete(
            (replies, failure) -> {
              if (failure != null) {
                routing.failed(server, parts.clock().nowNanos());
                parts.discard(server, session);
                elsewhere.run();
                return;
              }
              SessionReply reply = replies.get(0);
              long now = parts.clock().nowNanos();
              routing.answered(server, now, now - asked, false, reply.position());
              if (reply.succeeded()) {
                routing.leads(server);
                reply.position().ifPresent(position -> routing.sampled(asked, position));
              } else if (reply.refusedWith(RefusalCode.NOT_PRIMARY)) {
                routing.doesNotLead(server, group);
                elsewhere.run();
              }
              parts.rollBackAndRelease(server, session);
            });
  }
}
