package org.alderyard.control.failover;

import java.util.Objects;
import org.alderyard.common.id.ServerId;

/**
 * The server that may become primary of a term.
 *
 * @param server its name
 * @param startIndex the last log index that it held when it was fenced
 */
public record Choice(ServerId server, long startIndex) {

  /** Checks. */
  public Choice {
    Objects.requireNonNull(server);
  }
}
