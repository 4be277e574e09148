package org.alderyard.proxy.freshness;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;

/** The freshness of all groups of the current view. Thread-safe. */
public final class FreshnessTable {
  private final Map<GroupId, GroupFreshness> groups = new ConcurrentHashMap<>();

  /** Returns the freshness of a group, which is created empty if it is missing. */
  public GroupFreshness group(GroupId group) {
    return groups.computeIfAbsent(group, id -> new GroupFreshness());
  }

  /** Adopts a newer view: updates its groups and removes all others. */
  public void onViewChange(View view) {
    Set<GroupId> currentGroups = view.groups().keySet();
    groups.keySet().retainAll(currentGroups);
    for (GroupState group : view.groups().values()) {
      group(group.id()).onViewChange(group, view.serversOf(group.id()).size());
    }
  }
}
