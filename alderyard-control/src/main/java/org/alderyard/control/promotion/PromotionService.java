package org.alderyard.control.promotion;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.alderyard.backend.session.ReplicationStatus;
import org.alderyard.backend.session.ReplicationStatusProbe;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.PrimarySighting;
import org.alderyard.protocol.generated.control.PromotionIntent;
import org.alderyard.protocol.generated.control.PromotionIntentReply;
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
 * <p>Locking: {@code lock} is a leaf lock; calls are made after it is released.
 */
public final class PromotionService {
  private static final Logger log = LoggerFactory.getLogger(PromotionService.class);

  /** The interval between checks of the groups, a twentieth of the shortest failover. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  /** The time within which a replica must report its position to be a candidate. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(350);

  /** The delay before a call that was throttled or got no response is repeated. */
  private static final Duration CALL_RETRY_DELAY = Duration.ofMillis(150);

  /** The number of calls without a definite response after which a candidate is chosen again. */
  private static final int MAX_CALLS = 6;

  /** The time that an appointed server may take until it reports that it is primary. */
  private static final long APPOINTMENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** The delay before the next attempt after a failed one. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final ControlLog controlLog;
  private final HostId self;
  private final Supplier<View> views;
  private final ReplicationStatusProbe probe;
  private final PrimaryPromoter promoter;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final Object lock = new Object();
  // Guarded by lock.
  private final SightingTable sightings = new SightingTable();
  private final Map<GroupId, Long> nextAttemptNanos = new HashMap<>();

  /** Creates a service that is idle until {@link #start()}. */
  public PromotionService(
      ControlLog controlLog,
      HostId self,
      Supplier<View> views,
      ReplicationStatusProbe probe,
      PrimaryPromoter promoter,
      WorkerPool workers,
      MonotonicClock clock) {
    this.controlLog = controlLog;
    this.self = self;
    this.views = views;
    this.probe = probe;
    this.promoter = promoter;
    this.workers = workers;
    this.clock = clock;
  }

  /** Registers the method of this service with a dispatcher. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serve(ControlMethods.REPORT_PRIMARIES, (peer, request) -> handleReport(request));
  }

  /** Starts the periodic check of all groups. */
  public void start() {
    workers.scheduleRepeatedly(CHECK_INTERVAL, this::checkGroups);
  }

  private CompletableFuture<ReportPrimariesReply> handleReport(ReportPrimariesRequest request) {
    if (!controlLog.isLeader()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.NOT_LEADER, "this control host is not the leader"));
    }
    HostId host = new HostId(request.getHost());
    long nowNanos = clock.nowNanos();
    synchronized (lock) {
      for (PrimarySighting sighting : request.getSightingsList()) {
        sightings.add(
            host,
            new GroupId(sighting.getGroup()),
            new ServerId(sighting.getServer()),
            sighting.getSilentMillis(),
            nowNanos);
      }
    }
    return CompletableFuture.completedFuture(ReportPrimariesReply.getDefaultInstance());
  }

  private void checkGroups() {
    if (!controlLog.isLeader()) {
      return;
    }
    View view = views.get();
    long nowNanos = clock.nowNanos();
    List<Runnable> failoversToStart = new ArrayList<>();
    synchronized (lock) {
      sightings.removeExpired(nowNanos);
      for (GroupState group : view.groups().values()) {
        Optional<String> reason = failoverReason(view, group, nowNanos);
        if (reason.isEmpty()
            || nextAttemptNanos.getOrDefault(group.id(), nowNanos) - nowNanos > 0) {
          continue;
        }
        nextAttemptNanos.put(group.id(), nowNanos + APPOINTMENT_TIMEOUT_NANOS);
        failoversToStart.add(() -> startFailover(view, group, reason.get()));
      }
    }
    failoversToStart.forEach(Runnable::run);
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
    return sightings.isLost(group.id(), primary, nowNanos) ? Optional.of("lost") : Optional.empty();
  }

  private void startFailover(View view, GroupState group, String reason) {
    long startNanos = clock.nowNanos();
    log.info(
        "event=failover-begin group={} primary={} reason={} term={}",
        group.id(),
        group.primary().map(ServerId::value).orElse("none"),
        reason,
        group.term());
    List<ServerState> replicas =
        view.serversOf(group.id()).stream()
            .filter(server -> !group.primary().equals(Optional.of(server.id())))
            .filter(
                server ->
                    server.status() == ServerStatus.ACTIVE
                        || server.status() == ServerStatus.EXPIRED)
            .toList();
    List<CompletableFuture<Optional<Candidate>>> probes =
        replicas.stream().map(this::probeReplica).toList();
    CompletableFuture.allOf(probes.toArray(CompletableFuture[]::new))
        .thenAccept(
            ignored ->
                chooseCandidate(
                    group,
                    startNanos,
                    probes.stream()
                        .map(CompletableFuture::join)
                        .flatMap(Optional::stream)
                        .toList()))
        .exceptionally(
            failure -> {
              recordFailedAttempt(group.id(), "choice", Futures.unwrap(failure));
              return null;
            });
  }

  private record Candidate(ServerState server, ReplicationStatus status) {}

  private CompletableFuture<Optional<Candidate>> probeReplica(ServerState server) {
    return probe
        .probe(server, PROBE_TIMEOUT)
        .handle(
            (status, failure) -> {
              if (failure != null) {
                log.info(
                    "event=failover-candidate server={} reached=false reason={}",
                    server.id(),
                    Futures.toAlderyardException(failure).code());
                return Optional.empty();
              }
              log.info(
                  "event=failover-candidate server={} reached=true primary={} term={} received={}"
                      + " lag-millis={}",
                  server.id(),
                  status.primary(),
                  status.term(),
                  status.received(),
                  status.lagMillis());
              return Optional.of(new Candidate(server, status));
            });
  }

  /**
   * Chooses the replica with the highest received position, as it loses the fewest writes; among
   * equal positions the one with the smallest lag is preferred.
   */
  private void chooseCandidate(GroupState group, long startNanos, List<Candidate> candidates) {
    Optional<Candidate> bestCandidate =
        candidates.stream()
            .max(
                Comparator.comparing((Candidate candidate) -> candidate.status().received())
                    .thenComparing(candidate -> -candidate.status().lagMillis()));
    if (bestCandidate.isEmpty()) {
      recordFailedAttempt(group.id(), "no-candidate", null);
      return;
    }
    ServerId chosen = bestCandidate.get().server().id();
    controlLog
        .propose(
            Command.newBuilder()
                .setPromotionIntent(
                    PromotionIntent.newBuilder()
                        .setGroup(group.id().value())
                        .setServer(chosen.value())
                        .setHolder(self.value()))
                .build()
                .toByteString())
        .thenApply(PromotionService::parseToken)
        .thenAccept(token -> callPromoter(group.id(), chosen, token, startNanos, 1))
        .exceptionally(
            failure -> {
              recordFailedAttempt(group.id(), "no-token", Futures.unwrap(failure));
              return null;
            });
  }

  private static long parseToken(ByteString reply) {
    try {
      return PromotionIntentReply.parseFrom(reply).getFencingToken();
    } catch (InvalidProtocolBufferException malformed) {
      throw AlderyardException.notRun(ErrorCode.INTERNAL, "failed to parse the fencing token");
    }
  }

  private void callPromoter(
      GroupId group, ServerId server, long token, long startNanos, int callNumber) {
    promoter
        .promote(group, server, self, token)
        .thenAccept(
            response -> {
              log.info(
                  "event=promotion-call group={} server={} token={} call={} answer={}"
                      + " after-millis={}",
                  group,
                  server,
                  token,
                  callNumber,
                  response,
                  TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - startNanos));
              switch (response) {
                case ACCEPTED -> awaitAppointment(group);
                case REFUSED -> recordFailedAttempt(group, "refused", null);
                default -> retryCall(group, server, token, startNanos, callNumber);
              }
            });
  }

  private void retryCall(
      GroupId group, ServerId server, long token, long startNanos, int callNumber) {
    if (callNumber >= MAX_CALLS || !controlLog.isLeader()) {
      recordFailedAttempt(group, "no-answer", null);
      return;
    }
    workers.schedule(
        CALL_RETRY_DELAY, () -> callPromoter(group, server, token, startNanos, callNumber + 1));
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
