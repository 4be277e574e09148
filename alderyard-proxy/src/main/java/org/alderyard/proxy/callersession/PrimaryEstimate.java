package org.alderyard.proxy.callersession;

import java.util.Optional;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;

/**
 * Estimates which server of a group is the primary, from the view and from what servers have
 * reported since. Not thread-safe.
 */
final class PrimaryEstimate {
  private long term = -1;
  // The server that acted as primary, and the one that refused to, since the term of the view.
  private Optional<ServerId> proved = Optional.empty();
  private Optional<ServerId> disproved = Optional.empty();

  /** Returns the presumed primary. */
  Optional<ServerId> presumed(GroupState group) {
    if (group.term() != term) {
      term = group.term();
      proved = Optional.empty();
      disproved = Optional.empty();
    }
    return proved.or(() -> group.primary().filter(id -> !disproved.equals(Optional.of(id))));
  }

  /** Returns whether a server refused to act as primary and has not acted as primary since. */
  boolean isDisproved(ServerId server) {
    return disproved.filter(server::equals).isPresent();
  }

  /**
   * Records that a server accepted a statement that only a primary accepts; returns whether the
   * server was not yet confirmed as primary.
   */
  boolean confirm(ServerId server) {
    boolean changed = !proved.equals(Optional.of(server));
    proved = Optional.of(server);
    if (disproved.equals(proved)) {
      disproved = Optional.empty();
    }
    return changed;
  }

  /**
   * Records that a server reported that it is not the primary; returns whether it was the presumed
   * primary.
   */
  boolean reject(ServerId server, GroupState group) {
    boolean wasPresumed = presumed(group).filter(server::equals).isPresent();
    if (wasPresumed) {
      disproved = Optional.of(server);
      proved = Optional.empty();
    }
    return wasPresumed;
  }
}
