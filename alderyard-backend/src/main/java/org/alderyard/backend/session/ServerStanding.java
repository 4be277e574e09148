package org.alderyard.backend.session;

import java.util.Objects;
import org.alderyard.common.id.Position;

/**
 * What a server says of its part in its group.
 *
 * @param primary whether it leads, by its own word
 * @param term the newest term that it knows
 * @param received up to where its log holds what the primary wrote
 * @param lagMillis how far its reads are behind
 */
public record ServerStanding(boolean primary, long term, Position received, long lagMillis) {

  /** Checks. */
  public ServerStanding {
    Objects.requireNonNull(received);
  }
}
