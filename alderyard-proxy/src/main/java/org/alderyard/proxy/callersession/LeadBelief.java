package org.alderyard.proxy.callersession;

import java.util.Optional;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;

/**
 * Which server of a group leads, by the view and by what servers themselves have shown since. Not
 * safe for several threads.
 */
final class LeadBelief {
  private long term = -1;
  // A server that proved that it leads, or one that refused as primary, since the view's term.
  private Optional<ServerId> proved = Optional.empty();
  private Optional<ServerId> disproved = Optional.empty();

  /** Returns the server that is believed to lead. */
  Optional<ServerId> believed(GroupState group) {
    if (group.term() != term) {
      term = group.term();
      proved = Optional.empty();
      disproved = Optional.empty();
    }
    return proved.or(() -> group.primary().filter(id -> !disproved.equals(Optional.of(id))));
  }

  /** Returns whether a server refused as primary, and nothing else has been shown since. */
  boolean disproved(ServerId server) {
    return disproved.filter(server::equals).isPresent();
  }

  /** A server took what only a primary takes; returns whether that is news. */
  boolean leads(ServerId server) {
    boolean news = !proved.equals(Optional.of(server));
    proved = Optional.of(server);
    if (disproved.equals(proved)) {
      disproved = Optional.empty();
    }
    return news;
  }

  /** A server answered that it does not lead; returns whether it was believed to. */
  boolean doesNotLead(ServerId server, GroupState group) {
    boolean wrong = believed(group).filter(server::equals).isPresent();
    if (wrong) {
      disproved = Optional.of(server);
      proved = Optional.empty();
    }
    return wrong;
  }
}
