package org.alderyard.proxy.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.ServerState;

/**
 * The server that a read is routed to, with the reason of the decision.
 *
 * @param reason the reason
 * @param server the server; empty if the read is refused
 * @param waitFor the position that the server must have applied before the read is sent; empty if
 *     the read is sent immediately
 * @param waitNanos the maximum time to wait for that position; then the read goes to the primary
 * @param ageBoundNanos an upper bound for the age of the server's data; empty if unknown
 * @param eligibleCount the number of replicas that are fresh enough
 * @param retryAfterMillis the delay after which a refused caller should retry
 */
public record RoutingDecision(
    RoutingReason reason,
    Optional<ServerState> server,
    Optional<Position> waitFor,
    long waitNanos,
    OptionalLong ageBoundNanos,
    int eligibleCount,
    long retryAfterMillis) {

  /** Rejects null components. */
  public RoutingDecision {
    Objects.requireNonNull(reason);
    Objects.requireNonNull(server);
    Objects.requireNonNull(waitFor);
    Objects.requireNonNull(ageBoundNanos);
  }

  static RoutingDecision replica(
      ServerState server, OptionalLong ageBoundNanos, int eligibleCount) {
    return new RoutingDecision(
        RoutingReason.REPLICA_FRESH,
        Optional.of(server),
        Optional.empty(),
        0,
        ageBoundNanos,
        eligibleCount,
        0);
  }

  static RoutingDecision waitForReplica(
      RoutingReason reason, ServerState server, Position position, long waitNanos) {
    return new RoutingDecision(
        reason, Optional.of(server), Optional.of(position), waitNanos, OptionalLong.empty(), 0, 0);
  }

  static RoutingDecision primary(RoutingReason reason, ServerState server) {
    return new RoutingDecision(
        reason, Optional.of(server), Optional.empty(), 0, OptionalLong.empty(), 0, 0);
  }

  static RoutingDecision refused(RoutingReason reason, long retryAfterMillis) {
    return new RoutingDecision(
        reason, Optional.empty(), Optional.empty(), 0, OptionalLong.empty(), 0, retryAfterMillis);
  }

  /** Returns this decision with another retry delay. */
  public RoutingDecision withRetryAfterMillis(long millis) {
    return new RoutingDecision(
        reason, server, waitFor, waitNanos, ageBoundNanos, eligibleCount, millis);
  }

  /**
   * Returns the server.
   *
   * @throws AlderyardException with outcome {@code NOT_RUN} if the read is refused
   */
  public ServerState serverOrThrow() {
    return server.orElseThrow(this::refusal);
  }

  private AlderyardException refusal() {
    return switch (reason) {
      case REFUSED_PRIMARY_BUSY ->
          AlderyardException.notRun(
              ErrorCode.OVERLOADED,
              "every replica is behind and the primary has no capacity for reads",
              retryAfterMillis);
      case REFUSED_NO_PRIMARY ->
          AlderyardException.notRun(
              ErrorCode.NO_PRIMARY,
              "no replica is fresh enough and the group has no primary",
              retryAfterMillis);
      default ->
          AlderyardException.notRun(
              ErrorCode.NO_ELIGIBLE_SERVER,
              "no server of the group accepts reads",
              retryAfterMillis);
    };
  }
}
