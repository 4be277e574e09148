package org.alderyard.control.failover;

import java.util.Objects;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * The server that may become primary of a term.
 *
 * @param server its name
 * @param held the last entry that its log held when it was fenced
 */
public record Choice(ServerId server, Position held) {

  /** Checks. */
  public Choice {
    Objects.requireNonNull(server);
    Objects.requireNonNull(held);
  }
}
