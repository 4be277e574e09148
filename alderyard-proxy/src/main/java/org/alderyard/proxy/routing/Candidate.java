package org.alderyard.proxy.routing;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.freshness.ServerFreshness;

/**
 * A server of the group with the inputs to a routing decision.
 *
 * @param server the server
 * @param load this proxy's load on the server
 * @param freshness the measured freshness of the server; empty before the first measurement
 */
public record Candidate(ServerState server, ServerLoad load, Optional<ServerFreshness> freshness) {

  /** Rejects null components. */
  public Candidate {
    Objects.requireNonNull(server);
    Objects.requireNonNull(load);
    Objects.requireNonNull(freshness);
  }
}
