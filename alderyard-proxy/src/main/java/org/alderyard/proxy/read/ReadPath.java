package org.alderyard.proxy.read;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendStatement;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.freshness.EligibilityRule;
import org.alderyard.proxy.freshness.FreshnessMode;
import org.alderyard.proxy.freshness.FreshnessTable;
import org.alderyard.proxy.freshness.GroupFreshness;
import org.alderyard.proxy.freshness.PositionWaits;
import org.alderyard.proxy.freshness.ReadDemand;
import org.alderyard.proxy.limit.Flow;
import org.alderyard.proxy.limit.Gates;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.routing.Candidate;
import org.alderyard.proxy.routing.ReadRequest;
import org.alderyard.proxy.routing.ReadRouter;
import org.alderyard.proxy.routing.RoutingDecision;
import org.alderyard.proxy.routing.ServerLoad;
import org.alderyard.proxy.routing.ServerLoads;

/**
 * Answers reads: routes, waits, runs, checks the answer, and routes again if need be.
 *
 * <p>The answer names the position that it shows, and is checked against the demand again: what the
 * router knew may have been wrong, as after a restore of a server from a backup. An answer that is
 * too old is dropped and the read goes to the primary.
 */
public final class ReadPath {
  private static final int MAX_ATTEMPTS = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long REPLACED_RETRY_MILLIS = 200;

  private final MonotonicClock clock;
  private final FreshnessTable freshness;
  private final PositionWaits positionWaits;
  private final ServerLoads loads;
  private final Gates gates;
  private final ServerRunner runner;
  private final ReadRouter router;
  private final ReadMetrics metrics;
  private final RoutingLog routingLog;
  private final RetryBudget resends =
      new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_SAVED);

  /** Creates the path. */
  public ReadPath(
      MonotonicClock clock,
      FreshnessTable freshness,
      PositionWaits positionWaits,
      ServerLoads loads,
      Gates gates,
      ServerRunner runner,
      ReadRouter router,
      ReadMetrics metrics,
      int routingLogSample) {
    this.clock = Objects.requireNonNull(clock);
    this.freshness = Objects.requireNonNull(freshness);
    this.positionWaits = Objects.requireNonNull(positionWaits);
    this.loads = Objects.requireNonNull(loads);
    this.gates = Objects.requireNonNull(gates);
    this.runner = Objects.requireNonNull(runner);
    this.router = Objects.requireNonNull(router);
    this.metrics = Objects.requireNonNull(metrics);
    this.routingLog = new RoutingLog(routingLogSample);
  }

  /**
   * Answers a read.
   *
   * @param view the view that the whole read is routed by
   * @param group the group of the read in this view
   * @param flow whose read it is
   * @param demand what it demands of the data
   * @param statement what to run
   * @param timeout how long the caller waits
   */
  public CompletableFuture<ReadAnswer> run(
      View view,
      GroupState group,
      Flow flow,
      ReadDemand demand,
      BackendStatement statement,
      Duration timeout) {
    resends.firstTry();
    long deadlineNanos = clock.nowNanos() + timeout.toNanos();
    Read read = new Read(view, group, flow, demand, statement, deadlineNanos);
    return attempt(read, demand);
  }

  private CompletableFuture<ReadAnswer> attempt(Read read, ReadDemand routedBy) {
    read.attempts++;
    GroupFreshness known = freshness.group(read.group.id());
    long now = clock.nowNanos();
    RoutingDecision decision =
        router.decide(
            new ReadRequest(
                read.group,
                candidates(read, known),
                routedBy,
                known.reachedBy(routedBy.requirement().position()),
                primaryReadCapacity(read.group),
                now,
                Math.max(0, read.deadlineNanos - now)));
    routingLog.write(read.flow.pool(), read.group.id(), routedBy, decision);
    metrics.decided(routedBy.mode(), decision.reason());
    ServerState server = decision.serverOrThrow();
    if (decision.waitFor().isEmpty()) {
      return send(read, server, decision.reason().replica());
    }
    return waitThenSend(read, server, decision, known);
  }

  private List<Candidate> candidates(Read read, GroupFreshness known) {
    return read.view.serversOf(read.group.id()).stream()
        .map(
            server -> {
              ServerLoad load = loads.of(server, read.group.slotsPerServer());
              ServerLoad seen = read.failed.contains(server.id()) ? load.asEjected() : load;
              return new Candidate(server, seen, known.of(server.id()));
            })
        .toList();
  }

  private int primaryReadCapacity(GroupState group) {
    return group.primary().map(id -> gates.readRoom(id, group.slotsPerServer())).orElse(0);
  }

  private CompletableFuture<ReadAnswer> waitThenSend(
      Read read, ServerState server, RoutingDecision decision, GroupFreshness known) {
    Position needed = decision.waitFor().orElseThrow();
    CompletableFuture<Boolean> arrived =
        positionWaits.await(server.id(), needed, Duration.ofNanos(decision.waitNanos()));
    // It may have arrived between the decision and the wait.
    known
        .of(server.id())
        .ifPresent(fresh -> positionWaits.recordApplied(server.id(), fresh.applied()));
    return arrived.thenCompose(
        inTime -> inTime ? send(read, server, true) : attempt(read, ReadDemand.PRIMARY));
  }

  private CompletableFuture<ReadAnswer> send(Read read, ServerState server, boolean replica) {
    CompletableFuture<ReadAnswer> result = new CompletableFuture<>();
    runner
        .run(read.group, server, read.flow, read.statement, read.deadlineNanos)
        .whenComplete(
            (answer, failure) -> {
              try {
                CompletableFuture<ReadAnswer> next =
                    failure == null
                        ? check(read, server, replica, answer)
                        : resendOrFail(read, server, failure);
                next.whenComplete(
                    (checked, later) -> {
                      if (later == null) {
                        result.complete(checked);
                      } else {
                        result.completeExceptionally(later);
                      }
                    });
              } catch (RuntimeException refused) {
                result.completeExceptionally(refused);
              }
            });
    return result;
  }

  private CompletableFuture<ReadAnswer> check(
      Read read, ServerState server, boolean replica, BackendAnswer answer) {
    GroupFreshness known = freshness.group(read.group.id());
    known.recordAnswer(server.id(), server.incarnation(), answer.position());
    OptionalLong age = replica ? ageMillis(known, answer.position()) : OptionalLong.empty();
    if (goodEnough(read, replica, answer.position(), age)) {
      age.ifPresent(metrics::answeredWithAge);
      return CompletableFuture.completedFuture(new ReadAnswer(answer, server, replica, age));
    }
    metrics.staleAnswer();
    if (replica && read.attempts < MAX_ATTEMPTS) {
      return attempt(read, ReadDemand.PRIMARY);
    }
    throw AlderyardException.notRun(
        ErrorCode.NO_PRIMARY,
        "server "
            + server.id()
            + " shows position "
            + answer.position()
            + ", older than the session's "
            + read.demand.requirement().position(),
        REPLACED_RETRY_MILLIS);
  }

  private OptionalLong ageMillis(GroupFreshness known, Position shown) {
    OptionalLong asOf = known.freshAsOf(shown);
    if (asOf.isEmpty()) {
      return OptionalLong.empty();
    }
    long nanos = Math.max(0, clock.nowNanos() - asOf.getAsLong());
    return OptionalLong.of((nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  private static boolean goodEnough(
      Read read, boolean replica, Position shown, OptionalLong ageMillis) {
    FreshnessMode mode = read.demand.mode();
    if (mode == FreshnessMode.ANY) {
      return true;
    }
    boolean covered =
        EligibilityRule.covers(shown, read.demand.requirement().position())
            && !read.group.lost(shown);
    if (mode != FreshnessMode.BOUNDED || !replica) {
      return covered;
    }
    return covered
        && ageMillis.isPresent()
        && ageMillis.getAsLong() * NANOS_PER_MILLI
            <= read.demand.maxStalenessNanos() + NANOS_PER_MILLI - 1;
  }

  private CompletableFuture<ReadAnswer> resendOrFail(
      Read read, ServerState server, Throwable failure) {
    AlderyardException typed = Futures.typed(failure);
    boolean worthAnother =
        read.attempts < MAX_ATTEMPTS
            && clock.nowNanos() < read.deadlineNanos
            && anotherServerMayDo(typed.code())
            && resends.tryResend();
    if (!worthAnother) {
      return CompletableFuture.failedFuture(typed);
    }
    metrics.resent();
    read.failed.add(server.id());
    return attempt(read, read.demand);
  }

  /** A read has no effect, so it may be sent again whatever became of it. */
  private static boolean anotherServerMayDo(ErrorCode code) {
    return code == ErrorCode.CONNECTION_LOST
        || code == ErrorCode.BACKEND_PROTOCOL
        || code == ErrorCode.NO_ELIGIBLE_SERVER
        || code == ErrorCode.OVERLOADED;
  }

  /** One read over all its attempts; its callbacks run one after the other. */
  private static final class Read {
    final View view;
    final GroupState group;
    final Flow flow;
    final ReadDemand demand;
    final BackendStatement statement;
    final long deadlineNanos;
    final Set<ServerId> failed = new HashSet<>();
    int attempts;

    Read(
        View view,
        GroupState group,
        Flow flow,
        ReadDemand demand,
        BackendStatement statement,
        long deadlineNanos) {
      this.view = view;
      this.group = group;
      this.flow = flow;
      this.demand = demand;
      this.statement = statement;
      this.deadlineNanos = deadlineNanos;
    }
  }
}
