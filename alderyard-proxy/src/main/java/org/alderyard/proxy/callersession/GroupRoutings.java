package org.alderyard.proxy.callersession;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;

/** The routings of all groups. */
final class GroupRoutings {
  private final ZoneName zone;
  private final Map<GroupId, GroupRouting> routings = new ConcurrentHashMap<>();
  private volatile Consumer<GroupState> leadSearch = group -> {};

  GroupRoutings(ZoneName zone) {
    this.zone = zone;
  }

  GroupRouting of(GroupId group) {
    return routings.computeIfAbsent(group, id -> new GroupRouting(zone));
  }

  /** Sets what looks for the primary of a group, for all of this host's statements together. */
  void searchLeadBy(Consumer<GroupState> search) {
    leadSearch = search;
  }

  /** A statement needs a primary, and none is known. */
  void searchLead(GroupState group) {
    leadSearch.accept(group);
  }

  /** Returns how many statements wait for something. */
  int waiting(WaitingStatements.Need need) {
    return routings.values().stream().mapToInt(routing -> routing.waiting().size(need)).sum();
  }

  /** Forgets the groups and servers that left the view. */
  void follow(View view) {
    routings.keySet().removeIf(group -> view.group(group).isEmpty());
    routings.forEach((group, routing) -> routing.keepOnly(view.serversOf(group)));
  }
}
