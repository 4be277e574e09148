package org.alderyard.proxy.callersession;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.View;

/** The routings of all groups. */
final class GroupRoutings {
  private final ZoneName zone;
  private final Map<GroupId, GroupRouting> routings = new ConcurrentHashMap<>();

  GroupRoutings(ZoneName zone) {
    this.zone = zone;
  }

  GroupRouting of(GroupId group) {
    return routings.computeIfAbsent(group, id -> new GroupRouting(zone));
  }

  /** Forgets the groups and servers that left the view. */
  void follow(View view) {
    routings.keySet().removeIf(group -> view.group(group).isEmpty());
    routings.forEach((group, routing) -> routing.keepOnly(view.serversOf(group)));
  }
}
