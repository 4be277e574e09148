package org.alderyard.control.state;

import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.Status;

/** Detects announcements that are older than the known state of their server. */
public final class AnnouncementFilter {

  private AnnouncementFilter() {}

  /**
   * Returns whether an announcement is older than the known state of its server and must be
   * ignored.
   *
   * <p>An announcement that a network partition delayed would otherwise direct requests to a
   * process that has stopped. A lower incarnation is stale. A server that announced that it is
   * leaving stays in that state until it announces a greater incarnation.
   */
  public static boolean isStale(Server announced, ServerState known) {
    if (announced.getIncarnation() != known.incarnation()) {
      return announced.getIncarnation() < known.incarnation();
    }
    if (known.status() == ServerStatus.GONE) {
      return true;
    }
    return known.status() == ServerStatus.LEAVING && announced.getStatus() == Status.ACTIVE;
  }
}
