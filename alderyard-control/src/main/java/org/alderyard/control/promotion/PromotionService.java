package org.alderyard.control.promotion;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.alderyard.backend.session.ReplicationClient;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.HostTime;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.PrimarySighting;
import org.alderyard.protocol.generated.control.ReportPrimariesReply;
import org.alderyard.protocol.generated.control.ReportPrimariesRequest;
import org.alderyard.protocol.wire.Dispatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replaces unresponsive and leaving primaries while this host is the leader of the control log.
 *
 * <p>Each attempt gets its own fencing token from the log. Two leaders therefore never use the same
 * token, and the service refuses a late call of an earlier attempt. A call without a response is
 * repeated with the same arguments, so that the result is the same whether or not the first call
 * was executed.
 *
 * <p>A {@link ReplicaSearch} chooses the replica: the newest that responds, or, in a group with
 * synchronous replicas, one that holds all acknowledged commits; without one, the primary is not
 * replaced. A call without a response may be executed at any later time. In a group with
 * synchronous replicas the failover therefore goes on until the group has another primary, also
 * when the primary responds again or another host leads.
 *
 * <p>Locking: {@code lock} is a leaf lock; calls are made after it is released.
 */
public final class PromotionService {
  private static final Logger log = LoggerFactory.getLogger(PromotionService.class);

  /** The interval between checks of the groups, a twentieth of the shortest failover. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  /** The time that an appointed server may take until it reports that it is primary. */
  private static final long APPOINTMENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** The delay before the next attempt after a failed one. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final ControlLog controlLog;
  private final Supplier<View> views;
  private final Function<GroupId, Optional<ServerId>> pendingPromotions;
  private final ReplicaStarts starts;
  private final ReplicationClient replication;
  private final ReplicaCalls replicaCalls;
  private final NewcomerPause newcomers;
  private final PromotionIntents intents;
  private final PrimaryPromoter promoter;
  private final PromotionCalls calls;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final Supplier<HostTime> hostTime;
  private final Object lock = new Object();
  // Guarded by lock.
  private final CatchUpMonitor catchUps;
  private final SightingTable sightings = new SightingTable();
  private final Map<GroupId, Long> nextAttemptNanos = new HashMap<>();
  private final PausedReplicas paused = new PausedReplicas();
  // Groups whose last search found no replica to promote.
  private final Set<GroupId> blockedGroups = new HashSet<>();
  private final Set<GroupId> groupsOfTerm = new HashSet<>();
  private long leaderTerm;

  /**
   * Creates a service that is idle until {@link #start()}.
   *
   * @param pendingPromotions returns the server that a call of any leader may still promote
   * @param starts what is known of the starts of replicas
   * @param wallClock shows that this host was suspended, which the other clock does not
   */
  public PromotionService(
      ControlLog controlLog,
      HostId self,
      Supplier<View> views,
      Function<GroupId, Optional<ServerId>> pendingPromotions,
      ReplicaStarts starts,
      ReplicationClient replication,
      PrimaryPromoter promoter,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock) {
    this.controlLog = controlLog;
    this.views = views;
    this.pendingPromotions = pendingPromotions;
    this.starts = starts;
    this.replication = replication;
    replicaCalls = new ReplicaCalls(replication, workers);
    newcomers = new NewcomerPause(replicaCalls);
    catchUps = new CatchUpMonitor(controlLog, replication, starts);
    intents = new PromotionIntents(controlLog, self);
    this.promoter = promoter;
    this.workers = workers;
    this.clock = clock;
    hostTime = () -> HostTime.now(clock, wallClock);
    calls = new PromotionCalls(promoter, controlLog, self, workers, hostTime);
  }

  /** Registers the method of this service with a dispatcher. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serve(ControlMethods.REPORT_PRIMARIES, (peer, request) -> handleReport(request));
  }

  /** Starts the periodic check of all groups. */
  public void start() {
    workers.scheduleRepeatedly(CHECK_INTERVAL, this::checkGroups);
  }

  CompletableFuture<ReportPrimariesReply> handleReport(ReportPrimariesRequest request) {
    if (!controlLog.isLeader()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.NOT_LEADER, "this control host is not the leader"));
    }
    HostId host = new HostId(request.getHost());
    long nowNanos = clock.nowNanos();
    ReportPrimariesReply.Builder reply = ReportPrimariesReply.newBuilder();
    synchronized (lock) {
      for (PrimarySighting sighting : request.getSightingsList()) {
        sightings.add(
            host,
            new GroupId(sighting.getGroup()),
            new ServerId(sighting.getServer()),
            sighting.getSilentMillis(),
            nowNanos);
        if (blockedGroups.contains(new GroupId(sighting.getGroup()))) {
          reply.addBlockedGroups(sighting.getGroup());
        }
      }
    }
    return CompletableFuture.completedFuture(reply.build());
  }

  /**
   * Decides whether the announcement of a server may be confirmed. While a promotion of its group
   * is in progress, a replica that has just started is paused first.
   *
   * @param server the server as registered
   * @param started whether this is the first announcement of its incarnation
   * @return false if the replica could not be paused; never fails
   */
  public CompletableFuture<Boolean> admit(ServerState server, boolean started) {
    View view = views.get();
    Optional<GroupState> group = view.group(server.group()).filter(g -> isReplicaOf(g, server));
    if (group.isEmpty() || !isPromoting(view, server.group())) {
      newcomers.remove(server);
      return CompletableFuture.completedFuture(true);
    }
    if (started) {
      newcomers.add(server);
    }
    if (!newcomers.contains(server)) {
      return CompletableFuture.completedFuture(true);
    }
    // Recorded before the call, which may be executed without a response.
    synchronized (lock) {
      paused.add(server.group(), server, clock.nowNanos());
    }
    return newcomers.pause(server, ReplicaMembership.replicasOf(view, group.get()));
  }

  private static boolean isReplicaOf(GroupState group, ServerState server) {
    return !group.primary().equals(Optional.of(server.id()));
  }

  private boolean isPromoting(View view, GroupId group) {
    if (ReplicaMembership.syncReplicas(view, group) == 0) {
      return false;
    }
    synchronized (lock) {
      return paused.isSearching(group) || pendingPromotions.apply(group).isPresent();
    }
  }

  private void checkGroups() {
    if (!controlLog.isLeader()) {
      return;
    }
    View view = views.get();
    long nowNanos = clock.nowNanos();
    List<Runnable> failoversToStart = new ArrayList<>();
    List<PausedReplicas.Resumption> resumptions;
    synchronized (lock) {
      sightings.removeExpired(nowNanos);
      updateSynchronousGroups(view, nowNanos);
      resumptions =
          paused.startResuming(view, group -> pendingPromotions.apply(group).isPresent(), nowNanos);
      for (GroupState group : view.groups().values()) {
        Optional<String> reason = failoverReason(view, group, nowNanos);
        if (reason.isEmpty()) {
          blockedGroups.remove(group.id());
          continue;
        }
        if (nextAttemptNanos.getOrDefault(group.id(), nowNanos) - nowNanos > 0
            || paused.isSearching(group.id())
            || paused.isResuming(group.id())) {
          continue;
        }
        nextAttemptNanos.put(group.id(), nowNanos + APPOINTMENT_TIMEOUT_NANOS);
        paused.searchStarted(group.id());
        AcknowledgingReplicas replicas = AcknowledgingReplicas.of(view, group);
        ReplicaSearch search = createSearch(view, group, replicas, nowNanos);
        failoversToStart.add(() -> startFailover(group, reason.get(), search, replicas));
      }
    }
    resumptions.forEach(this::resume);
    failoversToStart.forEach(Runnable::run);
  }

  /** Resumes all replicas once in each term, as an earlier leader may have paused them. */
  private void updateSynchronousGroups(View view, long nowNanos) {
    if (controlLog.term() != leaderTerm) {
      leaderTerm = controlLog.term();
      groupsOfTerm.clear();
    }
    List<GroupState> groups =
        view
            .configuration()
            .map(ConfigurationState::syncReplicas)
            .orElse(new TreeMap<>())
            .keySet()
            .stream()
            .flatMap(id -> view.group(id).stream())
            .toList();
    for (GroupState group : groups) {
      if (groupsOfTerm.add(group.id())) {
        paused.addUnknown(group.id(), ReplicaMembership.replicasOf(view, group), nowNanos);
      }
      catchUps.check(view, group, nowNanos);
    }
  }

  /**
   * Resumes a replica if this host still leads. The replica may be one that the next leader has
   * paused.
   */
  private void resume(PausedReplicas.Resumption resumption) {
    ServerState server = resumption.server();
    controlLog
        .readBarrier()
        .thenCompose(confirmed -> replication.resume(server, ReplicaCalls.CALL_TIMEOUT))
        .whenComplete(
            (status, failure) -> {
              log.info(
                  "event=replica-resumed group={} server={} reached={}",
                  resumption.group(),
                  server.id(),
                  failure == null);
              synchronized (lock) {
                paused.resumed(resumption.group(), server.id(), failure == null);
              }
            });
  }

  private Optional<String> failoverReason(View view, GroupState group, long nowNanos) {
    if (group.primary().isEmpty()) {
      return Optional.empty();
    }
    ServerId primary = group.primary().get();
    Optional<ServerStatus> status = view.server(primary).map(ServerState::status);
    boolean primaryLeaving =
        status.isEmpty()
            || status.get() == ServerStatus.LEAVING
            || status.get() == ServerStatus.GONE;
    if (primaryLeaving) {
      return Optional.of("leaving");
    }
    if (sightings.isLost(group.id(), primary, nowNanos)) {
      return Optional.of("lost");
    }
    boolean callPending =
        ReplicaMembership.syncReplicas(view, group.id()) > 0
            && pendingPromotions.apply(group.id()).isPresent();
    return callPending ? Optional.of("call-pending") : Optional.empty();
  }

  /** Returns the search for a group; called with the lock held. */
  private ReplicaSearch createSearch(
      View view, GroupState group, AcknowledgingReplicas acknowledging, long nowNanos) {
    List<ServerState> replicas = ReplicaMembership.replicasOf(view, group);
    if (acknowledging.syncReplicas() == 0) {
      return new NewestReplicaSearch(replicas, replication);
    }
    ServerId primary = group.primary().orElseThrow();
    Optional<ServerId> calledServer = pendingPromotions.apply(group.id());
    boolean primaryRuns =
        view.server(primary).filter(server -> server.status() == ServerStatus.LEAVING).isPresent()
            && !sightings.isLost(group.id(), primary, nowNanos)
            && calledServer.isEmpty();
    return new SynchronousReplicaSearch(
        replicas,
        starts,
        acknowledging.syncReplicas(),
        primaryRuns,
        calledServer,
        () -> acknowledging.areComplete(views.get()),
        controlLog::readBarrier,
        replicaCalls,
        clock);
  }

  private void startFailover(
      GroupState group, String reason, ReplicaSearch search, AcknowledgingReplicas replicas) {
    HostTime startTime = hostTime.get();
    log.info(
        "event=failover-begin group={} primary={} reason={} term={}",
        group.id(),
        group.primary().map(ServerId::value).orElse("none"),
        reason,
        group.term());
    CompletableFuture<Optional<Throwable>> prepared =
        CompletableFuture.runAsync(promoter::prepare, workers::execute)
            .handle((done, failure) -> Optional.ofNullable(failure).map(Futures::unwrap));
    search
        .run()
        .thenAcceptBoth(
            prepared,
            (choice, failure) -> {
              if (failure.isPresent()) {
                handleUnavailablePromoter(group.id(), choice, failure.get());
              } else {
                handleChoice(replicas, choice, startTime);
              }
            });
  }

  /** Leaves the failover to another host, as this one cannot make the call. */
  private void handleUnavailablePromoter(GroupId group, ReplicaChoice choice, Throwable failure) {
    log.error("event=promoter-unavailable group={} action=hand-over", group, failure);
    endSearch(group, choice);
    recordFailedAttempt(group, "promoter-unavailable", failure);
    controlLog.transferLeadership();
  }

  private void handleChoice(
      AcknowledgingReplicas replicas, ReplicaChoice choice, HostTime startTime) {
    GroupId group = replicas.group();
    if (choice.server().isEmpty()) {
      endSearch(group, choice);
      recordFailedAttempt(group, choice.failure(), null);
      return;
    }
    ServerId chosen = choice.server().get();
    boolean earlierCallPending = pendingPromotions.apply(group).isPresent();
    HostTime askedTime = hostTime.get();
    intents
        .propose(group, chosen)
        .whenComplete((token, failure) -> endSearch(group, choice))
        .thenAccept(
            token -> {
              // A replica that registers after the intent is paused before it is admitted.
              if (!replicas.areComplete(views.get())) {
                withdraw(group, token, earlierCallPending);
                recordFailedAttempt(group, "replicas-changed", null);
                return;
              }
              callPromoter(
                  new PromotionCalls.Promotion(
                      group, chosen, token.value(), token.term(), askedTime, startTime),
                  token,
                  earlierCallPending);
            })
        .exceptionally(failure -> handleMissingToken(group, failure));
  }

  private void endSearch(GroupId group, ReplicaChoice choice) {
    synchronized (lock) {
      paused.searchEnded(group, choice.paused(), clock.nowNanos());
      if (choice.server().isEmpty()) {
        blockedGroups.add(group);
      } else {
        blockedGroups.remove(group);
      }
    }
  }

  private Void handleMissingToken(GroupId group, Throwable failure) {
    recordFailedAttempt(group, "no-token", Futures.unwrap(failure));
    return null;
  }

  private void callPromoter(
      PromotionCalls.Promotion promotion,
      PromotionIntents.Token token,
      boolean earlierCallPending) {
    GroupId group = promotion.group();
    calls
        .run(promotion)
        .thenAccept(
            outcome -> {
              if (!outcome.executable()) {
                withdraw(group, token, earlierCallPending);
              }
              switch (outcome.response()) {
                case ACCEPTED -> awaitAppointment(group);
                case REFUSED -> recordFailedAttempt(group, "refused", null);
                case NOT_SENT -> recordFailedAttempt(group, "not-sent", null);
                default -> recordFailedAttempt(group, "no-answer", null);
              }
            });
  }

  private void withdraw(GroupId group, PromotionIntents.Token token, boolean earlierCallPending) {
    if (!earlierCallPending) {
      intents.withdraw(group, token);
    }
  }

  private void awaitAppointment(GroupId group) {
    synchronized (lock) {
      nextAttemptNanos.put(group, clock.nowNanos() + APPOINTMENT_TIMEOUT_NANOS);
    }
  }

  private void recordFailedAttempt(GroupId group, String reason, Throwable cause) {
    log.warn(
        "event=failover-attempt-failed group={} reason={} cause=\"{}\"",
        group,
        reason,
        cause == null ? "" : cause.toString());
    synchronized (lock) {
      nextAttemptNanos.put(group, clock.nowNanos() + RETRY_DELAY_NANOS);
    }
  }
}
