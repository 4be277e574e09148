package org.alderyard.control.state;

import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.Status;

/** Judges whether an announcement is older than what is known of its server. */
public final class AnnouncementRule {

  private AnnouncementRule() {}

  /**
   * Returns whether an announcement comes too late to count.
   *
   * <p>Guards against an announcement that a partition held back: it would send work to a process
   * that is gone. A lower incarnation is ignored, and a server that said that it leaves stays so
   * until it comes back with a greater incarnation.
   */
  public static boolean late(Server announced, ServerState known) {
    if (announced.getIncarnation() != known.incarnation()) {
      return announced.getIncarnation() < known.incarnation();
    }
    if (known.status() == ServerStatus.GONE) {
      return true;
    }
    return known.status() == ServerStatus.LEAVING && announced.getStatus() == Status.ACTIVE;
  }
}
