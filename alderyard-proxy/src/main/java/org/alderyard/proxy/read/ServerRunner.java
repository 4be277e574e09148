package org.alderyard.proxy.read;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.limit.Flow;
import org.alderyard.proxy.limit.ServerLimiters;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.routing.ServerLoads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs statements on a server: passes its limiter, acquires a connection and records the result.
 */
public final class ServerRunner {
  private static final Logger log = LoggerFactory.getLogger(ServerRunner.class);

  private final ServerLimiters limiters;
  private final ServerLoads loads;
  private final ServerPools pools;
  private final MonotonicClock clock;
  private final ReadMetrics metrics;

  /** Creates a runner for the given limiters and connection pools. */
  public ServerRunner(
      ServerLimiters limiters,
      ServerLoads loads,
      ServerPools pools,
      MonotonicClock clock,
      ReadMetrics metrics) {
    this.limiters = Objects.requireNonNull(limiters);
    this.loads = Objects.requireNonNull(loads);
    this.pools = Objects.requireNonNull(pools);
    this.clock = Objects.requireNonNull(clock);
    this.metrics = Objects.requireNonNull(metrics);
  }

  /**
   * Runs a statement on a server.
   *
   * @return a future of the answer; it fails with outcome {@code NOT_RUN} if the limiter of the
   *     server rejects the statement
   */
  public CompletableFuture<BackendResponse> run(
      GroupState group,
      ServerState server,
      Flow flow,
      BackendStatement statement,
      long deadlineNanos) {
    boolean primary = group.primary().filter(server.id()::equals).isPresent();
    boolean write = statement.kind() == StatementKind.WRITE;
    loads.begin(server);
    long submittedNanos = clock.nowNanos();
    return limiters
        .acquire(server.id(), group.slotsPerServer(), primary, flow, write, deadlineNanos)
        .whenComplete(
            (permit, refusal) -> {
              if (refusal != null) {
                loads.cancel(server);
                return;
              }
              metrics.recordLimiterWait(clock.nowNanos() - submittedNanos);
            })
        .thenCompose(permit -> send(server, statement, deadlineNanos, permit));
  }

  private CompletableFuture<BackendResponse> send(
      ServerState server,
      BackendStatement statement,
      long deadlineNanos,
      ServerLimiters.Permit permit) {
    long startedNanos = clock.nowNanos();
    CompletableFuture<BackendResponse> result;
    try {
      Duration connectTimeout = Duration.ofNanos(Math.max(1, deadlineNanos - startedNanos));
      result =
          pools
              .acquire(server, connectTimeout)
              .thenCompose(
                  connection -> {
                    metrics.recordConnectionWait(clock.nowNanos() - startedNanos);
                    return runOnConnection(server, connection, statement, deadlineNanos);
                  });
    } catch (RuntimeException failure) {
      result = CompletableFuture.failedFuture(failure);
    }
    return result.whenComplete(
        (answer, failure) ->
            recordResult(server, permit, clock.nowNanos() - startedNanos, failure));
  }

  private CompletableFuture<BackendResponse> runOnConnection(
      ServerState server,
      ServerConnection connection,
      BackendStatement statement,
      long deadlineNanos) {
    long remainingNanos = deadlineNanos - clock.nowNanos();
    if (remainingNanos <= 0) {
      pools.release(server, connection);
      // Waiting for the connection used up the time; the statement was not sent.
      throw AlderyardException.notRun(
          ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the statement was sent");
    }
    long sentNanos = clock.nowNanos();
    return connection
        .run(statement, Duration.ofNanos(remainingNanos))
        .whenComplete(
            (answer, failure) -> {
              metrics.recordServerTime(clock.nowNanos() - sentNanos);
              pools.release(server, connection);
            });
  }

  private void recordResult(
      ServerState server, ServerLimiters.Permit permit, long latencyNanos, Throwable failure) {
    boolean rejectedByServer =
        failure != null && Futures.unwrap(failure) instanceof BackendException;
    boolean overloaded =
        failure != null && Futures.toAlderyardException(failure).code() == ErrorCode.OVERLOADED;
    if (failure != null && !rejectedByServer && noConnectionAvailable(failure)) {
      permit.endUnsent();
      loads.cancel(server);
      return;
    }
    permit.end(failure == null || rejectedByServer && !overloaded);
    if (failure == null || rejectedByServer) {
      loads.recordSuccess(server, Math.max(1, latencyNanos));
      return;
    }
    if (loads.recordFailure(server)) {
      metrics.recordEjection();
      log.warn(
          "event=eject server={} reason={}",
          server.id(),
          Futures.toAlderyardException(failure).code());
    }
  }

  /**
   * Returns whether this proxy had no connection available, which doesn't affect the health of the
   * server.
   */
  private static boolean noConnectionAvailable(Throwable failure) {
    ErrorCode code = Futures.toAlderyardException(failure).code();
    return code == ErrorCode.OVERLOADED || code == ErrorCode.NO_ELIGIBLE_SERVER;
  }
}
