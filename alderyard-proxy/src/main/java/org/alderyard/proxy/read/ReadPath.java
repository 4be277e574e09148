package org.alderyard.proxy.read;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendResponse;
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
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.limit.ServerLimiters;
import org.alderyard.proxy.routing.Candidate;
import org.alderyard.proxy.routing.ReadRequest;
import org.alderyard.proxy.routing.ReadRouter;
import org.alderyard.proxy.routing.RoutingDecision;
import org.alderyard.proxy.routing.RoutingReason;
import org.alderyard.proxy.routing.ServerLoad;
import org.alderyard.proxy.routing.ServerLoads;

/**
 * Runs reads: routes a read, waits for the replica if necessary, runs the statement, checks the
 * answer and routes the read again if the answer is not usable.
 *
 * <p>Each answer contains the position that it reflects, which is checked against the demand of the
 * read. The state that the router used may be wrong, for example after a server was restored from a
 * backup. An answer that is too old is dropped, and the read goes to the primary.
 */
public final class ReadPath {
  private static final int MAX_ATTEMPTS = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long STALE_ANSWER_RETRY_MILLIS = 200;

  private final MonotonicClock clock;
  private final FreshnessTable freshness;
  private final PositionWaits positionWaits;
  private final ServerLoads loads;
  private final ServerLimiters limiters;
  private final ServerRunner runner;
  private final ReadRouter router;
  private final ReadMetrics metrics;
  private final RoutingLog routingLog;
  private final RetryBudget resends =
      new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_MAX_RESENDS);

  /** Creates a path that logs one of {@code routingLogSample} routing decisions. */
  public ReadPath(
      MonotonicClock clock,
      FreshnessTable freshness,
      PositionWaits positionWaits,
      ServerLoads loads,
      ServerLimiters limiters,
      ServerRunner runner,
      ReadRouter router,
      ReadMetrics metrics,
      int routingLogSample) {
    this.clock = Objects.requireNonNull(clock);
    this.freshness = Objects.requireNonNull(freshness);
    this.positionWaits = Objects.requireNonNull(positionWaits);
    this.loads = Objects.requireNonNull(loads);
    this.limiters = Objects.requireNonNull(limiters);
    this.runner = Objects.requireNonNull(runner);
    this.router = Objects.requireNonNull(router);
    this.metrics = Objects.requireNonNull(metrics);
    this.routingLog = new RoutingLog(routingLogSample);
  }

  /**
   * Runs a read.
   *
   * @param view the view that all attempts of the read are routed by
   * @param group the group of the read, in this view
   * @param flow the flow that the read belongs to
   * @param demand the freshness that the read requires
   * @param statement the statement to run
   * @param timeout the time until the caller's deadline
   * @return a future of the answer
   * @throws AlderyardException with outcome {@code NOT_RUN} if the first routing decision is a
   *     refusal
   */
  public CompletableFuture<ReadAnswer> run(
      View view,
      GroupState group,
      Flow flow,
      ReadDemand demand,
      BackendStatement statement,
      Duration timeout) {
    resends.recordFirstAttempt();
    long deadlineNanos = clock.nowNanos() + timeout.toNanos();
    ReadState read = new ReadState(view, group, flow, demand, statement, deadlineNanos);
    return attempt(read, demand);
  }

  private CompletableFuture<ReadAnswer> attempt(ReadState read, ReadDemand demand) {
    read.attempts++;
    GroupFreshness groupFreshness = freshness.group(read.group.id());
    long now = clock.nowNanos();
    RoutingDecision decision =
        router.decide(
            new ReadRequest(
                read.group,
                candidates(read, groupFreshness),
                demand,
                groupFreshness.writtenBy(demand.requirement().position()),
                primaryReadCapacity(read.group),
                now,
                Math.max(0, read.deadlineNanos - now)));
    routingLog.write(read.flow.pool(), read.group.id(), demand, decision);
    metrics.recordDecision(demand.mode(), decision.reason());
    if (decision.reason() == RoutingReason.REFUSED_PRIMARY_BUSY) {
      decision = decision.withRetryAfterMillis(reserveReturnMillis(read, decision));
    }
    ServerState server = decision.serverOrThrow();
    if (decision.waitFor().isEmpty()) {
      return send(read, server, decision.reason().replica());
    }
    return waitThenSend(read, server, decision, groupFreshness);
  }

  private List<Candidate> candidates(ReadState read, GroupFreshness groupFreshness) {
    return read.view.serversOf(read.group.id()).stream()
        .map(
            server -> {
              ServerLoad load = loads.of(server, read.group.slotsPerServer());
              ServerLoad effectiveLoad =
                  read.failedServers.contains(server.id()) ? load.asEjected() : load;
              return new Candidate(server, effectiveLoad, groupFreshness.of(server.id()));
            })
        .toList();
  }

  /** Returns when a read returns that the primary has no capacity for, no two at one time. */
  private long reserveReturnMillis(ReadState read, RoutingDecision decision) {
    return limiters.reserveReturnMillis(
        read.group.primary().orElseThrow(),
        read.group.slotsPerServer(),
        decision.retryAfterMillis(),
        read.deadlineNanos);
  }

  private int primaryReadCapacity(GroupState group) {
    return group.primary().map(id -> limiters.readCapacity(id, group.slotsPerServer())).orElse(0);
  }

  private CompletableFuture<ReadAnswer> waitThenSend(
      ReadState read, ServerState server, RoutingDecision decision, GroupFreshness groupFreshness) {
    Position required = decision.waitFor().orElseThrow();
    CompletableFuture<Boolean> caughtUp =
        positionWaits.await(server.id(), required, Duration.ofNanos(decision.waitNanos()));
    // The server may have applied the position between the decision and the start of the wait.
    groupFreshness
        .of(server.id())
        .ifPresent(fresh -> positionWaits.recordApplied(server.id(), fresh.applied()));
    return caughtUp.thenCompose(
        appliedInTime ->
            appliedInTime ? send(read, server, true) : attempt(read, ReadDemand.PRIMARY));
  }

  private CompletableFuture<ReadAnswer> send(ReadState read, ServerState server, boolean replica) {
    CompletableFuture<ReadAnswer> result = new CompletableFuture<>();
    runner
        .run(read.group, server, read.flow, read.statement, read.deadlineNanos)
        .whenComplete(
            (response, failure) -> {
              try {
                CompletableFuture<ReadAnswer> next =
                    failure == null
                        ? check(read, server, replica, response)
                        : retryOrFail(read, server, failure);
                next.whenComplete(
                    (checkedAnswer, laterFailure) -> {
                      if (laterFailure == null) {
                        result.complete(checkedAnswer);
                      } else {
                        result.completeExceptionally(laterFailure);
                      }
                    });
              } catch (RuntimeException refused) {
                result.completeExceptionally(refused);
              }
            });
    return result;
  }

  private CompletableFuture<ReadAnswer> check(
      ReadState read, ServerState server, boolean replica, BackendResponse response) {
    GroupFreshness groupFreshness = freshness.group(read.group.id());
    groupFreshness.recordAnswer(server.id(), server.incarnation(), response.position());
    OptionalLong age =
        replica ? ageMillis(groupFreshness, response.position()) : OptionalLong.empty();
    if (satisfiesDemand(read, replica, response.position(), age)) {
      age.ifPresent(metrics::recordAge);
      return CompletableFuture.completedFuture(new ReadAnswer(response, server, replica, age));
    }
    metrics.recordStaleAnswer();
    if (replica && read.attempts < MAX_ATTEMPTS) {
      return attempt(read, ReadDemand.PRIMARY);
    }
    throw AlderyardException.notRun(
        ErrorCode.NO_PRIMARY,
        "server "
            + server.id()
            + " returned position "
            + response.position()
            + ", which is older than the session's position "
            + read.demand.requirement().position(),
        STALE_ANSWER_RETRY_MILLIS);
  }

  private OptionalLong ageMillis(GroupFreshness groupFreshness, Position position) {
    OptionalLong freshAsOf = groupFreshness.freshAsOf(position);
    if (freshAsOf.isEmpty()) {
      return OptionalLong.empty();
    }
    long nanos = Math.max(0, clock.nowNanos() - freshAsOf.getAsLong());
    return OptionalLong.of((nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  private static boolean satisfiesDemand(
      ReadState read, boolean replica, Position position, OptionalLong ageMillis) {
    FreshnessMode mode = read.demand.mode();
    if (mode == FreshnessMode.ANY) {
      return true;
    }
    boolean covered =
        EligibilityRule.covers(position, read.demand.requirement().position())
            && !read.group.isLost(position);
    if (mode != FreshnessMode.BOUNDED || !replica) {
      return covered;
    }
    return covered
        && ageMillis.isPresent()
        && ageMillis.getAsLong() * NANOS_PER_MILLI
            <= read.demand.maxStalenessNanos() + NANOS_PER_MILLI - 1;
  }

  private CompletableFuture<ReadAnswer> retryOrFail(
      ReadState read, ServerState server, Throwable failure) {
    AlderyardException error = Futures.toAlderyardException(failure);
    boolean retry =
        read.attempts < MAX_ATTEMPTS
            && clock.nowNanos() < read.deadlineNanos
            && mayRetryOnAnotherServer(error.code())
            && resends.tryResend();
    if (!retry) {
      return CompletableFuture.failedFuture(error);
    }
    metrics.recordResend();
    read.failedServers.add(server.id());
    return attempt(read, read.demand);
  }

  /**
   * Returns whether a read that failed with the code may succeed on another server. A read has no
   * side effects, so it may be sent again even if it may have run.
   */
  private static boolean mayRetryOnAnotherServer(ErrorCode code) {
    return code == ErrorCode.CONNECTION_LOST
        || code == ErrorCode.BACKEND_PROTOCOL
        || code == ErrorCode.NO_ELIGIBLE_SERVER
        || code == ErrorCode.OVERLOADED;
  }

  /** The state of one read over all its attempts. Its callbacks never run concurrently. */
  private static final class ReadState {
    final View view;
    final GroupState group;
    final Flow flow;
    final ReadDemand demand;
    final BackendStatement statement;
    final long deadlineNanos;
    final Set<ServerId> failedServers = new HashSet<>();
    int attempts;

    ReadState(
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
