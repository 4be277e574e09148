package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;

/** Determines the hosts at which the statements of one organisation meet. Stateless. */
final class MeetingHosts {
  /** With more groups, an equal part of a limit for each of them would be too small. */
  private static final int MAX_GROUPS = 8;

  private MeetingHosts() {}

  /**
   * Returns the preferred holder of each group, without repetitions.
   *
   * @return empty if all hosts hold connections to a group, or if there are too many groups
   */
  static Optional<List<HostState>> of(View view, ConnectionOwner owner) {
    if (view.groups().isEmpty() || view.groups().size() > MAX_GROUPS) {
      return Optional.empty();
    }
    HolderAssignment assignment = new HolderAssignment();
    HolderAffinity affinity = new HolderAffinity();
    List<HostState> hosts = new ArrayList<>();
    for (GroupId group : view.groups().keySet()) {
      Optional<HostState> preferred =
          assignment
              .holders(view, group)
              .flatMap(holders -> affinity.preferred(group, owner, holders));
      if (preferred.isEmpty()) {
        return Optional.empty();
      }
      if (!hosts.contains(preferred.get())) {
        hosts.add(preferred.get());
      }
    }
    return Optional.of(hosts);
  }
}
