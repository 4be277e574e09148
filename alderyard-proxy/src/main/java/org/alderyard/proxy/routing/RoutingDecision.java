package org.alderyard.proxy.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.ServerState;

/**
 * Where a read goes, and why.
 *
 * @param reason the reason
 * @param server the server; empty if the read was refused
 * @param waitFor the position that the server must have applied before it runs the read
 * @param waitNanos how long the server may wait for it; then the read goes to the primary
 * @param ageBoundNanos an age that the data of the server does not exceed, where known
 * @param eligible how many replicas were fresh enough
 * @param retryAfterMillis when a refused caller should come back
 */
public record RoutingDecision(
    RoutingReason reason,
    Optional<ServerState> server,
    Optional<Position> waitFor,
    long waitNanos,
    OptionalLong ageBoundNanos,
    int eligible,
    long retryAfterMillis) {

  /** Checks. */
  public RoutingDecision {
    Objects.requireNonNull(reason);
    Objects.requireNonNull(server);
    Objects.requireNonNull(waitFor);
    Objects.requireNonNull(ageBoundNanos);
  }

  static RoutingDecision replica(ServerState server, OptionalLong ageBoundNanos, int eligible) {
    return new RoutingDecision(
        RoutingReason.REPLICA_FRESH,
        Optional.of(server),
        Optional.empty(),
        0,
        ageBoundNanos,
        eligible,
        0);
  }

  static RoutingDecision waiting(
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

  /** Returns the server, or throws the typed error of a refusal; nothing was sent by then. */
  public ServerState serverOrThrow() {
    return server.orElseThrow(this::refusal);
  }

  private AlderyardException refusal() {
    return switch (reason) {
      case REFUSED_PRIMARY_BUSY ->
          AlderyardException.notRun(
              ErrorCode.OVERLOADED,
              "every replica is behind and the primary has no room for reads",
              retryAfterMillis);
      case REFUSED_NO_PRIMARY ->
          AlderyardException.notRun(
              ErrorCode.NO_PRIMARY,
              "no replica is fresh enough and the group has no primary",
              retryAfterMillis);
      default ->
          AlderyardException.notRun(
              ErrorCode.NO_ELIGIBLE_SERVER, "no server of the group gets work", retryAfterMillis);
    };
  }
}
