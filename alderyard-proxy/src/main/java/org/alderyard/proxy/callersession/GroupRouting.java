package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.proxy.callersession.WaitingStatements.Need;

/**
 * Where the statements of one group go, by what its servers have shown this host.
 *
 * <p>Pure but for its tables. Lock: the object itself, a leaf; those that wait are woken after it
 * is released.
 */
final class GroupRouting {
  /** What a hop to another availability zone counts as: its way there and back, and its price. */
  private static final double OTHER_ZONE_MILLIS = 6;

  /**
   * Reads keep away from the primary, which alone can write, unless replicas are this much slower.
   */
  private static final double PRIMARY_MILLIS = 10;

  /** A replica that probably lacks the position would refuse; the primary surely holds it. */
  private static final double LACKS_MILLIS = 500;

  /** An expired server may still serve this host; others come first. */
  private static final double EXPIRED_MILLIS = 1_000;

  private static final double PAUSED_MILLIS = 100_000;

  /**
   * Shorter than the shortest time for which a leaving server goes on serving, 7 s, by a margin.
   */
  private static final long LEAVING_PRIMARY_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** How many of those that wait for a primary look again once one is known. */
  private static final int WOKEN_BY_NEWS = 4;

  /** An answer of the primary this long ago still speaks for it. */
  private static final long SIGHT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ZoneName zone;
  // Guarded by this.
  private final Map<ServerId, ServerTrack> tracks = new HashMap<>();
  private final PositionSamples samples = new PositionSamples();
  private final Set<CompletableFuture<Void>> sampleWaiters = new LinkedHashSet<>();
  private final WaitingStatements waiting = new WaitingStatements();
  private final LeadBelief lead = new LeadBelief();
  private final Map<ServerId, Long> leavingSinceNanos = new HashMap<>();

  GroupRouting(ZoneName zone) {
    this.zone = zone;
  }

  /**
   * A position that a read's server must hold.
   *
   * @param position the position
   * @param sinceNanos a time at which the primary held it
   */
  record Floor(Position position, long sinceNanos) {}

  /**
   * Returns the position that a read of a bounded age must see.
   *
   * @param own the position of the session's own last write, if it counts
   * @return empty when no sample is young enough: only a server that leads may run the read then
   */
  synchronized Optional<Floor> floor(
      long nowNanos, long wallMillis, long maxAgeNanos, Optional<Floor> own) {
    samples.checkClocks(nowNanos, wallMillis);
    Optional<Floor> bound =
        samples
            .oldestWithin(nowNanos, maxAgeNanos)
            .map(sample -> new Floor(sample.position(), sample.askedNanos()));
    if (bound.isEmpty() || own.isEmpty()) {
      return bound;
    }
    // A sample of a later term covers all writes of earlier ones that were not lost with them.
    boolean covered = bound.get().position().compareTo(own.get().position()) >= 0;
    return covered ? bound : own;
  }

  /** Returns the newest sample, for another host. */
  synchronized Optional<PositionSamples.Sample> newestSample(long nowNanos, long wallMillis) {
    samples.checkClocks(nowNanos, wallMillis);
    return samples.newest();
  }

  /** Returns whether the server that is believed to lead was left alone, or none is. */
  synchronized boolean primaryOutOfReach(GroupState group, long nowNanos) {
    return believedPrimary(group).map(tracks::get).map(t -> t.paused(nowNanos)).orElse(true);
  }

  /**
   * Returns for how long the server that is believed to lead has given no answer to what waits for
   * one; the longest time where nobody is believed to lead, and empty where it answers.
   */
  synchronized OptionalLong primaryLostNanos(GroupState group, long nowNanos) {
    Optional<ServerId> believed = believedPrimary(group);
    if (believed.isEmpty()) {
      return OptionalLong.of(Long.MAX_VALUE);
    }
    ServerTrack track = tracks.get(believed.get());
    return track == null || !track.failing()
        ? OptionalLong.empty()
        : OptionalLong.of(track.silentNanos(nowNanos));
  }

  /** Returns how long ago the newest sample was asked. */
  synchronized Optional<Long> newestSampleAgeNanos(long nowNanos) {
    return samples.newest().map(sample -> nowNanos - sample.askedNanos());
  }

  /** Takes a position that came with a proof that the server leads. */
  void sampled(long askedNanos, Position position) {
    List<CompletableFuture<Void>> waiting;
    synchronized (this) {
      samples.add(askedNanos, position);
      waiting = List.copyOf(sampleWaiters);
      sampleWaiters.clear();
    }
    waiting.forEach(waiter -> waiter.complete(null));
  }

  /** Returns a future that is done when a sample comes, or when the time is over. */
  CompletableFuture<Void> nextSample(long limitMillis) {
    CompletableFuture<Void> waiter = new CompletableFuture<>();
    synchronized (this) {
      sampleWaiters.add(waiter);
    }
    waiter.completeOnTimeout(null, limitMillis, TimeUnit.MILLISECONDS);
    return waiter.whenComplete((done, failure) -> stopWaiting(waiter));
  }

  private synchronized void stopWaiting(CompletableFuture<Void> waiter) {
    sampleWaiters.remove(waiter);
  }

  /** Returns the servers that may run a read from the given position on, the best first. */
  synchronized List<ServerState> readOrder(
      List<ServerState> servers, Optional<ServerId> primary, Floor floor, long nowNanos) {
    record Scored(ServerState server, double millis) {}

    List<Scored> scored = new ArrayList<>();
    for (ServerState server : servers) {
      ServerTrack track = track(server);
      if (!serves(server) || track.gone()) {
        continue;
      }
      scored.add(new Scored(server, score(server, track, primary, floor, nowNanos)));
    }
    scored.sort(Comparator.comparingDouble(Scored::millis));
    return scored.stream().map(Scored::server).toList();
  }

  private double score(
      ServerState server,
      ServerTrack track,
      Optional<ServerId> primary,
      Floor floor,
      long nowNanos) {
    boolean leads = primary.filter(server.id()::equals).isPresent();
    double millis = track.expectedMillis();
    millis += server.zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
    millis += leads ? PRIMARY_MILLIS : 0;
    millis +=
        leads || track.likelyHolds(floor.position(), nowNanos - floor.sinceNanos())
            ? 0
            : LACKS_MILLIS;
    millis += server.status() == ServerStatus.EXPIRED ? EXPIRED_MILLIS : 0;
    millis += track.paused(nowNanos) ? PAUSED_MILLIS : 0;
    return millis;
  }

  /**
   * A server that leaves gets no new work; one that is expired may only have lost the way to us.
   */
  private static boolean serves(ServerState server) {
    return server.status() == ServerStatus.ACTIVE || server.status() == ServerStatus.EXPIRED;
  }

  /**
   * Returns the servers to try as primary, the most likely first.
   *
   * <p>The view may lag behind a change of primary, or the host may be cut off from the control
   * hosts: a server that refused as primary comes last, and one that proved the lead first.
   */
  synchronized List<ServerState> primaryOrder(
      List<ServerState> servers, GroupState group, long nowNanos) {
    Optional<ServerId> believed = believedPrimary(group);
    return servers.stream()
        .filter(server -> server.status() != ServerStatus.GONE && !track(server).gone())
        .filter(
            server ->
                serves(server)
                    || believed.filter(server.id()::equals).isPresent()
                        && leftAtMost(server, nowNanos))
        .sorted(Comparator.comparingInt(server -> primaryRank(server, believed, nowNanos)))
        .toList();
  }

  /** A primary that leaves takes writes until another is appointed, but not for long. */
  private boolean leftAtMost(ServerState server, long nowNanos) {
    long since = leavingSinceNanos.computeIfAbsent(server.id(), id -> nowNanos);
    return nowNanos - since <= LEAVING_PRIMARY_NANOS;
  }

  private int primaryRank(ServerState server, Optional<ServerId> believed, long nowNanos) {
    if (believed.filter(server.id()::equals).isPresent()) {
      return 0;
    }
    if (lead.disproved(server.id())) {
      return 3;
    }
    return track(server).paused(nowNanos) ? 2 : 1;
  }

  /** Returns the server that is believed to lead. */
  synchronized Optional<ServerId> believedPrimary(GroupState group) {
    return lead.believed(group);
  }

  /**
   * Returns the server that a statement for the primary goes to.
   *
   * @return empty if nobody is believed to lead, or the one that is can't be asked now
   */
  synchronized Optional<ServerState> leadToAsk(
      List<ServerState> servers, GroupState group, long nowNanos) {
    Optional<ServerId> believed = believedPrimary(group);
    return primaryOrder(servers, group, nowNanos).stream()
        .findFirst()
        .filter(server -> believed.filter(server.id()::equals).isPresent())
        .filter(server -> !track(server).paused(nowNanos));
  }

  /** Returns whether a server is known to refuse a statement now, so that it is not asked. */
  synchronized boolean knownToRefuse(
      ServerState server, Optional<Floor> floor, boolean leads, long nowNanos) {
    ServerRefusals refusals = track(server).refusals();
    return refusals.busyNow(nowNanos)
        || !leads && floor.filter(f -> refusals.lacks(f.position(), nowNanos)).isPresent();
  }

  /** A server took a statement that only a primary takes. */
  void leads(ServerState server) {
    boolean news;
    synchronized (this) {
      news = lead.leads(server.id());
    }
    if (news) {
      waiting.wake(Need.LEAD, WOKEN_BY_NEWS);
    }
  }

  /** A server answered that it does not lead; returns whether it was believed to. */
  synchronized boolean doesNotLead(ServerState server, GroupState group) {
    return lead.doesNotLead(server.id(), group);
  }

  /** Returns the statements that wait for something of this group. */
  WaitingStatements waiting() {
    return waiting;
  }

  synchronized void started(ServerState server, long nowNanos) {
    track(server).started();
    track(server).refusals().asked(nowNanos);
  }

  /** A statement has ended at a server, so that one that waits may find room or an answer. */
  void ended(ServerState server) {
    synchronized (this) {
      track(server).ended();
    }
    waiting.wake(Need.LEAD, 1);
    waiting.wake(Need.READ, 1);
  }

  /**
   * A server answered.
   *
   * @param ran whether it gave the statement a slot, so that its time tells how fast it works
   * @param shown up to where its reads show the log
   */
  synchronized void answered(
      ServerState server, long nowNanos, long tookNanos, boolean ran, Optional<Position> shown) {
    ServerTrack track = track(server);
    track.answered(nowNanos, tookNanos, ran);
    shown.ifPresent(track::shows);
  }

  /** A server had no slot for a statement. */
  synchronized void busy(ServerState server, long nowNanos) {
    track(server).refusals().busy(nowNanos);
  }

  /** A server lacked the position that a read needs. */
  synchronized void lacked(ServerState server, Floor floor, long nowNanos) {
    track(server).lacked(floor, nowNanos);
  }

  synchronized void failed(ServerState server, long nowNanos) {
    track(server).failed(nowNanos);
  }

  /**
   * An answer was lost on its way.
   *
   * <p>Guards against writes that stop for a while each time that one connection breaks: the
   * primary is asked whether it is there, and left alone only when it does not answer.
   */
  synchronized void doubted(ServerState server, long nowNanos) {
    track(server).doubted(nowNanos);
  }

  synchronized void replaced(ServerState server) {
    track(server).replaced();
  }

  /**
   * What this host sees of the primary.
   *
   * @param server the server that is believed to lead
   * @param silentMillis for how long it gave no answer to what waits for one; 0 if it answers
   */
  record PrimarySight(ServerId server, long silentMillis) {}

  /** Returns what this host sees of the primary; empty when it had no work for it lately. */
  synchronized Optional<PrimarySight> primarySight(GroupState group, long nowNanos) {
    Optional<ServerId> believed = group.primary();
    ServerTrack track = believed.map(tracks::get).orElse(null);
    if (track == null) {
      return Optional.empty();
    }
    if (track.failing()) {
      long silentMillis = TimeUnit.NANOSECONDS.toMillis(track.silentNanos(nowNanos));
      return Optional.of(new PrimarySight(believed.get(), Math.max(1, silentMillis)));
    }
    return track.answeredWithin(nowNanos, SIGHT_NANOS)
        ? Optional.of(new PrimarySight(believed.get(), 0))
        : Optional.empty();
  }

  synchronized boolean paused(ServerState server, long nowNanos) {
    return track(server).paused(nowNanos);
  }

  synchronized double latencyMillis(ServerState server) {
    return track(server).latencyMillis();
  }

  /** Forgets servers that are no longer in the view. */
  synchronized void keepOnly(List<ServerState> servers) {
    leavingSinceNanos
        .keySet()
        .removeIf(
            id ->
                servers.stream()
                    .noneMatch(
                        server ->
                            server.id().equals(id) && server.status() == ServerStatus.LEAVING));
    tracks.keySet().removeIf(id -> servers.stream().noneMatch(server -> server.id().equals(id)));
  }

  private ServerTrack track(ServerState server) {
    ServerTrack track = tracks.get(server.id());
    if (track == null || track.incarnation() < server.incarnation()) {
      track = new ServerTrack(server.incarnation());
      tracks.put(server.id(), track);
    }
    return track;
  }
}
