package org.alderyard.proxy.callersession;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.View;

/** Routing state of all database groups. */
final class GroupRoutings {
  private final Function<GroupId, GroupRouting> factory;
  private final Map<GroupId, GroupRouting> routings = new ConcurrentHashMap<>();
  private final BlockedPromotions blockedPromotions = new BlockedPromotions();
  private volatile Consumer<GroupState> primarySearch = group -> {};

  GroupRoutings(ZoneName zone) {
    this(group -> new GroupRouting(zone));
  }

  /** Creates routings; the factory creates the one of a group at its first use. */
  GroupRoutings(Function<GroupId, GroupRouting> factory) {
    this.factory = factory;
  }

  GroupRouting of(GroupId group) {
    return routings.computeIfAbsent(group, factory);
  }

  /**
   * Sets the callback that searches for the primary of a group on behalf of all statements of this
   * host.
   */
  void setPrimarySearch(Consumer<GroupState> search) {
    primarySearch = search;
  }

  /**
   * Searches for the primary of a group, for a statement that needs one while none is available.
   */
  void startPrimarySearch(GroupState group) {
    primarySearch.accept(group);
  }

  /** Returns the groups whose lost primary the control leader can't replace at present. */
  BlockedPromotions blockedPromotions() {
    return blockedPromotions;
  }

  /** Returns the number of queued statements with the given need. */
  int queuedCount(WaitingStatements.Need need) {
    return routings.values().stream()
        .mapToInt(routing -> routing.waitingStatements().size(need))
        .sum();
  }

  /** Updates the groups and servers to those of a view. */
  void onViewChange(View view, long nowNanos) {
    routings.keySet().removeIf(group -> view.group(group).isEmpty());
    routings.forEach((group, routing) -> routing.updateServers(view.serversOf(group), nowNanos));
  }
}
