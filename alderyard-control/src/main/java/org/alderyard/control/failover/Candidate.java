package org.alderyard.control.failover;

import java.util.Objects;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * The only server that may become primary of a term.
 *
 * @param server the server
 * @param lastPosition the position of the last entry in the server's log when it was fenced
 */
public record Candidate(ServerId server, Position lastPosition) {

  /** Rejects null components. */
  public Candidate {
    Objects.requireNonNull(server);
    Objects.requireNonNull(lastPosition);
  }
}
