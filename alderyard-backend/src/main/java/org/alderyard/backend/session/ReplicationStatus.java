package org.alderyard.backend.session;

import java.util.Objects;
import org.alderyard.common.id.Position;

/**
 * Role and replication state of a server, as the server reports them.
 *
 * @param primary whether the server considers itself the primary
 * @param term the highest term known to the server
 * @param received the position up to which the server's log holds the primary's writes
 * @param lagMillis replication lag of the server's reads
 */
public record ReplicationStatus(boolean primary, long term, Position received, long lagMillis) {

  /** Rejects null components. */
  public ReplicationStatus {
    Objects.requireNonNull(received);
  }
}
