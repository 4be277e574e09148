package org.alderyard.proxy.routing;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.alderyard.common.view.GroupState;
import org.alderyard.proxy.freshness.ReadDemand;

/**
 * One read, with all that its routing weighs.
 *
 * @param group the group in the view that the read is routed by
 * @param candidates the servers of the group in the same view
 * @param demand what the read demands of the data
 * @param reachedNanos by when the primary had written the demanded position, if measured
 * @param primaryReadRoom how many more reads the primary takes now
 * @param nowNanos the clock
 * @param remainingNanos the time until the caller's deadline
 */
public record ReadRequest(
    GroupState group,
    List<Candidate> candidates,
    ReadDemand demand,
    OptionalLong reachedNanos,
    int primaryReadRoom,
    long nowNanos,
    long remainingNanos) {

  /** Checks and copies. */
  public ReadRequest {
    Objects.requireNonNull(group);
    Objects.requireNonNull(demand);
    Objects.requireNonNull(reachedNanos);
    candidates = List.copyOf(candidates);
  }
}
