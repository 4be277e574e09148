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
import org.alderyard.backend.session.ServerStanding;
import org.alderyard.backend.session.StandingProbe;
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
 * Replaces lost and leaving primaries while this host leads the control log.
 *
 * <p>Every attempt gets a token of its own from the log, so two leaders never use the same one, and
 * a call of an earlier attempt that is carried out late is refused by the service. After a call
 * without an answer the same call is repeated: whether the first one was carried out or not, the
 * result is the same. Lock: {@code lock}, a leaf; calls are made after it is released.
 */
public final class PromotionService {
  private static final Logger log = LoggerFactory.getLogger(PromotionService.class);

  /** The pace at which groups are looked at; a twentieth of the shortest failover. */
  private static final Duration TICK = Duration.ofMillis(50);

  /** A server that does not say what it holds in this time is not chosen. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(350);

  /** The pause before a call that was throttled or got no answer is repeated. */
  private static final Duration REPEAT_PAUSE = Duration.ofMillis(150);

  /** After so many calls without an answer the choice is made anew. */
  private static final int MAX_CALLS = 6;

  /** How long an appointed server may take until it says that it leads. */
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** The pause after an attempt that failed. */
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final ControlLog controlLog;
  private final HostId self;
  private final Supplier<View> views;
  private final StandingProbe probe;
  private final PrimaryPromoter promoter;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final Object lock = new Object();
  // Guarded by lock.
  private final SightingTable sightings = new SightingTable();
  private final Map<GroupId, Long> quietUntilNanos = new HashMap<>();

  /** Creates a service that does nothing until {@link #start()}. */
  public PromotionService(
      ControlLog controlLog,
      HostId self,
      Supplier<View> views,
      StandingProbe probe,
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

  /** Adds the method of this service. */
  public void serve(Dispatcher dispatcher) {
    dispatcher.serve(ControlMethods.REPORT_PRIMARIES, (peer, request) -> report(request));
  }

  /** Starts to look at the groups. */
  public void start() {
    workers.scheduleRepeatedly(TICK, this::tick);
  }

  private CompletableFuture<ReportPrimariesReply> report(ReportPrimariesRequest request) {
    if (!controlLog.leading()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.NOT_LEADER, "this host does not lead"));
    }
    HostId host = new HostId(request.getHost());
    long now = clock.nowNanos();
    synchronized (lock) {
      for (PrimarySighting sighting : request.getSightingsList()) {
        sightings.report(
            host,
            new GroupId(sighting.getGroup()),
            new ServerId(sighting.getServer()),
            sighting.getSilentMillis(),
            now);
      }
    }
    return CompletableFuture.completedFuture(ReportPrimariesReply.getDefaultInstance());
  }

  private void tick() {
    if (!controlLog.leading()) {
      return;
    }
    View view = views.get();
    long now = clock.nowNanos();
    List<Runnable> begun = new ArrayList<>();
    synchronized (lock) {
      sightings.prune(now);
      for (GroupState group : view.groups().values()) {
        Optional<String> reason = reason(view, group, now);
        if (reason.isEmpty() || quietUntilNanos.getOrDefault(group.id(), now) - now > 0) {
          continue;
        }
        quietUntilNanos.put(group.id(), now + SETTLE_NANOS);
        begun.add(() -> begin(view, group, reason.get()));
      }
    }
    begun.forEach(Runnable::run);
  }

  private Optional<String> reason(View view, GroupState group, long now) {
    if (group.primary().isEmpty()) {
      return Optional.empty();
    }
    ServerId primary = group.primary().get();
    Optional<ServerStatus> status = view.server(primary).map(ServerState::status);
    boolean leaves =
        status.isEmpty()
            || status.get() == ServerStatus.LEAVING
            || status.get() == ServerStatus.GONE;
    if (leaves) {
      return Optional.of("leaving");
    }
    return sightings.lost(group.id(), primary, now) ? Optional.of("lost") : Optional.empty();
  }

  private void begin(View view, GroupState group, String reason) {
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
    List<CompletableFuture<Optional<Candidate>>> answers =
        replicas.stream().map(this::inspect).toList();
    CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenAccept(
            done ->
                choose(
                    group,
                    startNanos,
                    answers.stream()
                        .map(CompletableFuture::join)
                        .flatMap(Optional::stream)
                        .toList()))
        .exceptionally(
            failure -> {
              failed(group.id(), "choice", Futures.unwrap(failure));
              return null;
            });
  }

  private record Candidate(ServerState server, ServerStanding standing) {}

  private CompletableFuture<Optional<Candidate>> inspect(ServerState server) {
    return probe
        .ask(server, PROBE_TIMEOUT)
        .handle(
            (standing, failure) -> {
              if (failure != null) {
                log.info(
                    "event=failover-candidate server={} reached=false reason={}",
                    server.id(),
                    Futures.typed(failure).code());
                return Optional.empty();
              }
              log.info(
                  "event=failover-candidate server={} reached=true primary={} term={} received={}"
                      + " lag-millis={}",
                  server.id(),
                  standing.primary(),
                  standing.term(),
                  standing.received(),
                  standing.lagMillis());
              return Optional.of(new Candidate(server, standing));
            });
  }

  /** The log that is longest loses least; of equal ones that which has applied most. */
  private void choose(GroupState group, long startNanos, List<Candidate> candidates) {
    Optional<Candidate> best =
        candidates.stream()
            .max(
                Comparator.comparing((Candidate candidate) -> candidate.standing().received())
                    .thenComparing(candidate -> -candidate.standing().lagMillis()));
    if (best.isEmpty()) {
      failed(group.id(), "no-candidate", null);
      return;
    }
    ServerId chosen = best.get().server().id();
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
        .thenApply(PromotionService::token)
        .thenAccept(token -> call(group.id(), chosen, token, startNanos, 1))
        .exceptionally(
            failure -> {
              failed(group.id(), "no-token", Futures.unwrap(failure));
              return null;
            });
  }

  private static long token(ByteString answer) {
    try {
      return PromotionIntentReply.parseFrom(answer).getFencingToken();
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(ErrorCode.INTERNAL, "the token can't be read");
    }
  }

  private void call(GroupId group, ServerId server, long token, long startNanos, int number) {
    promoter
        .promote(group, server, self, token)
        .thenAccept(
            answer -> {
              log.info(
                  "event=promotion-call group={} server={} token={} call={} answer={}"
                      + " after-millis={}",
                  group,
                  server,
                  token,
                  number,
                  answer,
                  TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - startNanos));
              switch (answer) {
                case ACCEPTED -> settle(group);
                case REFUSED -> failed(group, "refused", null);
                default -> repeat(group, server, token, startNanos, number);
              }
            });
  }

  private void repeat(GroupId group, ServerId server, long token, long startNanos, int number) {
    if (number >= MAX_CALLS || !controlLog.leading()) {
      failed(group, "no-answer", null);
      return;
    }
    workers.schedule(REPEAT_PAUSE, () -> call(group, server, token, startNanos, number + 1));
  }

  private void settle(GroupId group) {
    synchronized (lock) {
      quietUntilNanos.put(group, clock.nowNanos() + SETTLE_NANOS);
    }
  }

  private void failed(GroupId group, String reason, Throwable cause) {
    log.warn(
        "event=failover-attempt-failed group={} reason={} cause=\"{}\"",
        group,
        reason,
        cause == null ? "" : cause.toString());
    synchronized (lock) {
      quietUntilNanos.put(group, clock.nowNanos() + RETRY_NANOS);
    }
  }
}
