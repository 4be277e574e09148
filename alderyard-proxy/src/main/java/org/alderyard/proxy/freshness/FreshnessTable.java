package org.alderyard.proxy.freshness;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;

/** The freshness of all groups of the view. */
public final class FreshnessTable {
  private final Map<GroupId, GroupFreshness> groups = new ConcurrentHashMap<>();

  /** Returns what is known of a group. */
  public GroupFreshness group(GroupId group) {
    return groups.computeIfAbsent(group, id -> new GroupFreshness());
  }

  /** Follows a newer view. */
  public void follow(View view) {
    Set<GroupId> known = view.groups().keySet();
    groups.keySet().retainAll(known);
    for (GroupState group : view.groups().values()) {
      group(group.id()).follow(group, view.serversOf(group.id()).size());
    }
  }
}
