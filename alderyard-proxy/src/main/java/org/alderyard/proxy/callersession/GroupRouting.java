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
import java.util.function.Function;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.start.StartStage;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.proxy.admission.DeadlineAdmission;
import org.alderyard.proxy.admission.GroupAdmission;
import org.alderyard.proxy.callersession.WaitingStatements.Need;
import org.alderyard.proxy.serverhealth.FleetSize;
import org.alderyard.proxy.serverhealth.GroupHealth;
import org.alderyard.proxy.serverhealth.HealthOptions;
import org.alderyard.proxy.serverhealth.ReadOutcome;
import org.alderyard.proxy.serverhealth.ReadReport;

/**
 * Routing state of one database group: ranks its servers by what this host has observed of them.
 *
 * <p>Performs no I/O and reads no clock. Locking: the instance monitor is a leaf lock; queued
 * statements are notified after it is released.
 */
final class GroupRouting {
  /**
   * How long a leaving primary is still used. Shorter, by a margin, than the minimum time for which
   * a leaving server keeps serving, 7 s.
   */
  private static final long MAX_LEAVING_PRIMARY_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Number of statements waiting for a primary that are notified when one becomes known. */
  private static final int NOTIFIED_ON_NEW_PRIMARY = 4;

  /** Age up to which a response of the primary still shows that it is available. */
  private static final long RECENT_RESPONSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Smallest latency that a recovered server is given, as a multiple of the best other latency. The
   * factor differs between hosts, so that they do not all select the server at once.
   */
  private static final double MIN_RECOVERED_LATENCY_FACTOR = 0.8;

  /** Difference between the largest and the smallest factor. */
  private static final double RECOVERED_LATENCY_SPREAD = 0.4;

  private final ReadScores scores;
  private final StartLog startLog;
  // Guarded by this.
  private final GroupHealth health;
  private final Map<ServerId, ServerTracker> trackers = new HashMap<>();
  private final PositionSamples samples = new PositionSamples();
  private final Set<CompletableFuture<Void>> sampleFutures = new LinkedHashSet<>();
  private final WaitingStatements waitingStatements;
  private final GroupAdmission admission;
  private final PrimaryEstimate primaryEstimate = new PrimaryEstimate();
  private final Map<ServerId, Long> leavingSinceNanos = new HashMap<>();

  GroupRouting(ZoneName zone, StartLog startLog) {
    this(zone, startLog, new GroupHealth(HealthOptions.DEFAULT, 0, () -> FleetSize.SINGLE));
  }

  GroupRouting(ZoneName zone, StartLog startLog, GroupHealth health) {
    this(
        zone,
        startLog,
        health,
        new WaitingStatements(),
        new GroupAdmission(new DeadlineAdmission()));
  }

  GroupRouting(
      ZoneName zone,
      StartLog startLog,
      GroupHealth health,
      WaitingStatements waitingStatements,
      GroupAdmission admission) {
    this.startLog = startLog;
    this.scores = new ReadScores(zone);
    this.health = health;
    this.waitingStatements = waitingStatements;
    this.admission = admission;
  }

  /**
   * A position that a server must hold to run a read.
   *
   * @param position the position
   * @param sinceNanos a time at which the primary held the position
   */
  record Floor(Position position, long sinceNanos) {}

  /**
   * Returns the position that a read with bounded staleness must see.
   *
   * @param own the position of the session's last write; empty if the read need not see it
   * @return empty if no sample is recent enough, in which case only the primary may run the read
   */
  synchronized Optional<Floor> floor(
      long nowNanos, long wallMillis, long maxAgeNanos, Optional<Floor> own) {
    samples.checkClocks(nowNanos, wallMillis);
    Optional<Floor> bound =
        samples
            .oldestWithin(nowNanos, maxAgeNanos)
            .map(sample -> new Floor(sample.position(), sample.requestedNanos()));
    if (bound.isEmpty() || own.isEmpty()) {
      return bound;
    }
    // A sample of a later term covers every write of earlier terms that survived the change of
    // primary.
    boolean covered = bound.get().position().compareTo(own.get().position()) >= 0;
    return covered ? bound : own;
  }

  /** Returns the newest sample, to be sent to another host. */
  synchronized Optional<PositionSamples.Sample> newestSample(long nowNanos, long wallMillis) {
    samples.checkClocks(nowNanos, wallMillis);
    return samples.newest();
  }

  /** Returns whether the presumed primary is in backoff, or no primary is known. */
  synchronized boolean primaryUnavailable(GroupState group, long nowNanos) {
    return presumedPrimary(group)
        .map(trackers::get)
        .map(tracker -> tracker.inBackoff(nowNanos))
        .orElse(true);
  }

  /**
   * Returns how long requests to the presumed primary have gone unanswered: {@code Long.MAX_VALUE}
   * if no primary is known, empty if the primary answers.
   */
  synchronized OptionalLong primaryUnresponsiveNanos(GroupState group, long nowNanos) {
    Optional<ServerId> presumed = presumedPrimary(group);
    if (presumed.isEmpty()) {
      return OptionalLong.of(Long.MAX_VALUE);
    }
    ServerTracker tracker = trackers.get(presumed.get());
    return tracker == null || !tracker.isFailing()
        ? OptionalLong.empty()
        : OptionalLong.of(tracker.unresponsiveNanos(nowNanos));
  }

  /** Returns the age of the newest sample, measured from the time of its request. */
  synchronized Optional<Long> newestSampleAgeNanos(long nowNanos) {
    return samples.newest().map(sample -> nowNanos - sample.requestedNanos());
  }

  /** Adds a position that came with a proof that the server is the primary. */
  void addSample(long requestedNanos, Position position) {
    startLog.reached(StartStage.SAMPLE);
    List<CompletableFuture<Void>> futures;
    synchronized (this) {
      samples.add(requestedNanos, position);
      futures = List.copyOf(sampleFutures);
      sampleFutures.clear();
    }
    futures.forEach(future -> future.complete(null));
  }

  /** Returns a future that completes when a sample is added or the time limit expires. */
  CompletableFuture<Void> awaitSample(long timeoutMillis) {
    CompletableFuture<Void> future = new CompletableFuture<>();
    synchronized (this) {
      sampleFutures.add(future);
    }
    future.completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS);
    return future.whenComplete((done, failure) -> removeSampleFuture(future));
  }

  private synchronized void removeSampleFuture(CompletableFuture<Void> future) {
    sampleFutures.remove(future);
  }

  /** Returns the servers that may run a read at the given floor, best first. */
  synchronized List<ServerState> readCandidates(
      List<ServerState> servers, Optional<ServerId> primary, Floor floor, long nowNanos) {
    record ScoredServer(ServerState server, double millis) {}

    List<ScoredServer> scored = new ArrayList<>();
    for (ServerState server : servers) {
      ServerTracker tracker = tracker(server);
      if (!acceptsWork(server) || tracker.isReplaced()) {
        continue;
      }
      boolean isPrimary = primary.filter(server.id()::equals).isPresent();
      scored.add(
          new ScoredServer(server, scores.millis(server, tracker, isPrimary, floor, nowNanos)));
    }
    scored.sort(Comparator.comparingDouble(ScoredServer::millis));
    List<ServerState> ranked = scored.stream().map(ScoredServer::server).toList();
    return health.arrange(
        ranked,
        server ->
            primary.filter(server.id()::equals).isEmpty() && likelyHolds(server, floor, nowNanos),
        server ->
            !tracker(server).inBackoff(nowNanos)
                && (primary.filter(server.id()::equals).isPresent()
                    || likelyHolds(server, floor, nowNanos)),
        nowNanos);
  }

  private boolean likelyHolds(ServerState server, Floor floor, long nowNanos) {
    return tracker(server).likelyHolds(floor.position(), nowNanos - floor.sinceNanos());
  }

  /**
   * Returns whether a server may get new work. A leaving server gets none; an expired server may
   * only have lost its connection to this cluster.
   */
  private static boolean acceptsWork(ServerState server) {
    return server.status() == ServerStatus.ACTIVE || server.status() == ServerStatus.EXPIRED;
  }

  /**
   * Returns the servers to try as primary, most likely first.
   *
   * <p>The view may lag behind a change of primary, or this host may be cut off from the control
   * hosts. A server that confirmed that it is the primary therefore comes first, and a server that
   * refused to act as primary comes last.
   */
  synchronized List<ServerState> primaryCandidates(
      List<ServerState> servers, GroupState group, long nowNanos) {
    Optional<ServerId> presumed = presumedPrimary(group);
    return servers.stream()
        .filter(server -> server.status() != ServerStatus.GONE && !tracker(server).isReplaced())
        .filter(
            server ->
                acceptsWork(server)
                    || presumed.filter(server.id()::equals).isPresent()
                        && withinLeavingLimit(server, nowNanos))
        .sorted(Comparator.comparingInt(server -> primaryRank(server, presumed, nowNanos)))
        .toList();
  }

  /**
   * A leaving primary accepts writes until its successor is appointed, but only for a limited time.
   */
  private boolean withinLeavingLimit(ServerState server, long nowNanos) {
    long since = leavingSinceNanos.computeIfAbsent(server.id(), id -> nowNanos);
    return nowNanos - since <= MAX_LEAVING_PRIMARY_NANOS;
  }

  private int primaryRank(ServerState server, Optional<ServerId> presumed, long nowNanos) {
    if (presumed.filter(server.id()::equals).isPresent()) {
      return 0;
    }
    if (primaryEstimate.isDisproved(server.id())) {
      return 3;
    }
    return tracker(server).inBackoff(nowNanos) ? 2 : 1;
  }

  /** Returns the presumed primary. */
  synchronized Optional<ServerId> presumedPrimary(GroupState group) {
    return primaryEstimate.presumed(group);
  }

  /**
   * Returns the server to which a statement for the primary is sent.
   *
   * @return empty if no primary is known, or the presumed primary is unavailable
   */
  synchronized Optional<ServerState> availablePrimary(
      List<ServerState> servers, GroupState group, long nowNanos) {
    Optional<ServerId> presumed = presumedPrimary(group);
    return primaryCandidates(servers, group, nowNanos).stream()
        .findFirst()
        .filter(server -> presumed.filter(server.id()::equals).isPresent())
        .filter(server -> !tracker(server).inBackoff(nowNanos));
  }

  /** Returns whether a server is known to refuse a statement now, so that it need not be tried. */
  synchronized boolean knownToRefuse(
      ServerState server, Optional<Floor> floor, boolean isPrimary, long nowNanos) {
    ServerRefusals refusals = tracker(server).refusals();
    return refusals.isBusy(nowNanos)
        || !isPrimary
            && floor
                .filter(required -> refusals.isMissing(required.position(), nowNanos))
                .isPresent();
  }

  /** Records that a server accepted a statement that only a primary accepts. */
  void confirmPrimary(ServerState server) {
    startLog.reached(StartStage.PRIMARY_PROOF);
    boolean changed;
    synchronized (this) {
      changed = primaryEstimate.confirm(server.id());
    }
    if (changed) {
      waitingStatements.notifyFirst(Need.LEAD, NOTIFIED_ON_NEW_PRIMARY);
    }
  }

  /**
   * Records that a server reported that it is not the primary; returns whether it was the presumed
   * primary.
   */
  synchronized boolean recordNotPrimary(ServerState server, GroupState group) {
    return primaryEstimate.reject(server.id(), group);
  }

  /** Returns the queue of statements that wait for a server of this group. */
  WaitingStatements waitingStatements() {
    return waitingStatements;
  }

  /** Returns what admission knows of this group. */
  GroupAdmission admission() {
    return admission;
  }

  /** Returns what this host has observed of a server that may run a statement. */
  synchronized ServerObservation observe(
      ServerState server, Optional<Floor> floor, boolean isPrimary, long nowNanos) {
    return ServerObservation.of(tracker(server), floor, isPrimary, nowNanos);
  }

  synchronized void started(ServerState server, long nowNanos) {
    tracker(server).started();
    tracker(server).refusals().recordAttempt(nowNanos);
    health.started(server);
  }

  /**
   * Records that a statement has ended on a server. Queued statements are notified, since a slot
   * may be free or a suitable server may have become known.
   */
  void ended(ServerState server) {
    synchronized (this) {
      tracker(server).ended();
      health.ended(server);
    }
    waitingStatements.notifyFirst(Need.LEAD, 1);
    waitingStatements.notifyFirst(Need.READ, 1);
  }

  /**
   * Records a response of a server.
   *
   * @param ran whether the server assigned the statement a slot, so that the response time reflects
   *     its processing speed
   * @param shown the log position up to which the server's reads see the data
   */
  synchronized void answered(
      ServerState server, long nowNanos, long tookNanos, boolean ran, Optional<Position> shown) {
    ServerTracker tracker = tracker(server);
    tracker.answered(nowNanos, tookNanos, ran);
    shown.ifPresent(tracker::recordPosition);
    health.answered(server, nowNanos);
  }

  /** Records what came back for a read that any server of the group may run. */
  synchronized void recordRead(
      ServerState server, ReadOutcome outcome, long tookNanos, long nowNanos) {
    health.read(server, outcome, tookNanos, nowNanos);
    resetLatencies();
  }

  /** Applies what other hosts reported of the group's servers. */
  synchronized void applyReports(Map<Integer, ReadReport> reports, long nowNanos) {
    health.applyReports(reports, nowNanos);
    resetLatencies();
  }

  /**
   * Lets servers that have recovered take part in the choice again. Their scores stem from the time
   * before, and a host only learns about the servers that it chooses.
   */
  private void resetLatencies() {
    double factor = MIN_RECOVERED_LATENCY_FACTOR + RECOVERED_LATENCY_SPREAD * health.phase();
    for (ServerId recovered : health.takeRecovered()) {
      trackers.entrySet().stream()
          .filter(entry -> !entry.getKey().equals(recovered))
          .mapToDouble(entry -> entry.getValue().latencyMillis())
          .min()
          .ifPresent(
              best ->
                  Optional.ofNullable(trackers.get(recovered))
                      .ifPresent(tracker -> tracker.resetLatency(best * factor)));
    }
  }

  /** Queries the health of the group's servers under the lock of this object. */
  synchronized <T> T queryHealth(Function<GroupHealth, T> query) {
    return query.apply(health);
  }

  /** Records that a server ran a statement and answered that it failed. */
  synchronized void recordFailed(ServerState server, long nowNanos) {
    tracker(server).recordFailed(nowNanos);
  }

  /** Records that a server had no free slot for a statement. */
  synchronized void recordBusy(ServerState server, long nowNanos) {
    tracker(server).refusals().recordBusy(nowNanos);
  }

  /** Records that a server lacked the position that a read requires. */
  synchronized void recordMissingPosition(ServerState server, Floor floor, long nowNanos) {
    tracker(server).recordMissingPosition(floor, nowNanos);
  }

  synchronized void failed(ServerState server, long nowNanos) {
    tracker(server).failed(nowNanos);
    health.unanswered(server);
  }

  /**
   * Records a lost response.
   *
   * <p>Starts no backoff, since writes would otherwise pause each time a single connection to the
   * primary breaks. The primary is probed instead, and backoff starts only if the probe gets no
   * answer.
   */
  synchronized void responseLost(ServerState server, long nowNanos) {
    tracker(server).responseLost(nowNanos);
  }

  synchronized void recordReplaced(ServerState server) {
    tracker(server).markReplaced();
  }

  /**
   * The state of a primary as observed by this host.
   *
   * @param server the primary named by the view
   * @param unresponsiveMillis how long requests have gone unanswered; 0 if the server answers
   */
  record ObservedPrimary(ServerId server, long unresponsiveMillis) {}

  /**
   * Returns the observed state of the primary; empty if this host has sent it no recent requests.
   */
  synchronized Optional<ObservedPrimary> observedPrimary(GroupState group, long nowNanos) {
    Optional<ServerId> presumed = group.primary();
    ServerTracker tracker = presumed.map(trackers::get).orElse(null);
    if (tracker == null) {
      return Optional.empty();
    }
    if (tracker.isFailing()) {
      long unresponsiveMillis = TimeUnit.NANOSECONDS.toMillis(tracker.unresponsiveNanos(nowNanos));
      return Optional.of(new ObservedPrimary(presumed.get(), Math.max(1, unresponsiveMillis)));
    }
    return tracker.answeredWithin(nowNanos, RECENT_RESPONSE_NANOS)
        ? Optional.of(new ObservedPrimary(presumed.get(), 0))
        : Optional.empty();
  }

  synchronized boolean inBackoff(ServerState server, long nowNanos) {
    return tracker(server).inBackoff(nowNanos);
  }

  synchronized double latencyMillis(ServerState server) {
    return tracker(server).latencyMillis();
  }

  /**
   * Removes the state of servers that are no longer in the view, and records since when servers
   * leave: a host without statements must not use one for longer than others.
   */
  synchronized void updateServers(List<ServerState> servers, long nowNanos) {
    leavingSinceNanos
        .keySet()
        .removeIf(
            id ->
                servers.stream()
                    .noneMatch(
                        server ->
                            server.id().equals(id) && server.status() == ServerStatus.LEAVING));
    servers.stream()
        .filter(server -> server.status() == ServerStatus.LEAVING)
        .forEach(server -> leavingSinceNanos.putIfAbsent(server.id(), nowNanos));
    trackers.keySet().removeIf(id -> servers.stream().noneMatch(server -> server.id().equals(id)));
    health.retain(servers.stream().map(ServerState::id).toList());
    admission.retainServers(trackers.keySet());
  }

  private ServerTracker tracker(ServerState server) {
    ServerTracker tracker = trackers.get(server.id());
    if (tracker == null || tracker.incarnation() < server.incarnation()) {
      tracker = new ServerTracker(server.incarnation());
      trackers.put(server.id(), tracker);
    }
    return tracker;
  }
}
