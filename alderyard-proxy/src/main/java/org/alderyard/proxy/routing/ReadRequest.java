package org.alderyard.proxy.routing;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.alderyard.common.view.GroupState;
import org.alderyard.proxy.freshness.ReadDemand;

/**
 * A read with the inputs to its routing decision.
 *
 * @param group the group, in the view that the read is routed by
 * @param candidates the servers of the group, in the same view
 * @param demand the freshness that the read requires
 * @param writtenByNanos a time by which the primary had written the required position; empty if not
 *     measured
 * @param primaryReadCapacity the number of additional reads that the primary accepts now
 * @param nowNanos the current time of the monotonic clock
 * @param remainingNanos the time until the caller's deadline
 */
public record ReadRequest(
    GroupState group,
    List<Candidate> candidates,
    ReadDemand demand,
    OptionalLong writtenByNanos,
    int primaryReadCapacity,
    long nowNanos,
    long remainingNanos) {

  /** Rejects null components and copies the candidates. */
  public ReadRequest {
    Objects.requireNonNull(group);
    Objects.requireNonNull(demand);
    Objects.requireNonNull(writtenByNanos);
    candidates = List.copyOf(candidates);
  }
}
