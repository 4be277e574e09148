package org.alderyard.proxy.routing;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.freshness.ServerFreshness;

/**
 * A server of the group, with all that the routing of a read weighs.
 *
 * @param server the server
 * @param load the work of this proxy at it
 * @param freshness what is known of its data
 */
public record Candidate(ServerState server, ServerLoad load, Optional<ServerFreshness> freshness) {

  /** Checks. */
  public Candidate {
    Objects.requireNonNull(server);
    Objects.requireNonNull(load);
    Objects.requireNonNull(freshness);
  }
}
