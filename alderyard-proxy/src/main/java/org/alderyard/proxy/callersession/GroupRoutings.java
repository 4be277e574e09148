package org.alderyard.proxy.callersession;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.RendezvousScores;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.serverhealth.FleetSize;
import org.alderyard.proxy.serverhealth.GroupHealth;
import org.alderyard.proxy.serverhealth.HealthOptions;

/** Routing state of all database groups. */
final class GroupRoutings {
  private final RoutingFactory factory;
  private final Map<GroupId, GroupRouting> routings = new ConcurrentHashMap<>();
  private final BlockedPromotions blockedPromotions = new BlockedPromotions();
  private final HolderAssignment assignment = new HolderAssignment();
  private volatile Consumer<GroupState> primarySearch = group -> {};
  private volatile Function<GroupId, GroupHealth> healthFactory =
      group -> new GroupHealth(HealthOptions.DEFAULT, 0, () -> FleetSize.SINGLE);
  private volatile boolean tracksFleet;
  private volatile Map<GroupId, FleetSize> fleets = Map.of();

  /** Creates routings; the factory creates the one of a group at its first use. */
  GroupRoutings(RoutingFactory factory) {
    this.factory = factory;
  }

  /** Creates the routing of a group. */
  @FunctionalInterface
  interface RoutingFactory {
    GroupRouting create(GroupId group, GroupHealth health);
  }

  GroupRouting of(GroupId group) {
    return routings.computeIfAbsent(group, id -> factory.create(id, healthFactory.apply(id)));
  }

  /**
   * Applies settings of server health; called before the first statement.
   *
   * @param self this host, whose name spreads trials and first statements among the hosts
   */
  void useHealth(HealthOptions options, HostId self) {
    tracksFleet = options.enabled();
    healthFactory =
        group ->
            new GroupHealth(
                options,
                fraction(RendezvousScores.nameHash(self + "/" + group)),
                () -> fleets.getOrDefault(group, FleetSize.SINGLE));
  }

  /** Maps a hash to a number from 0 to 1. */
  private static double fraction(long hash) {
    return (hash >>> 11) * 0x1.0p-53;
  }

  /** Returns the routing state of all groups that had statements. */
  Collection<GroupRouting> all() {
    return routings.values();
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
    if (tracksFleet) {
      fleets = fleets(view);
    }
    routings.keySet().removeIf(group -> view.group(group).isEmpty());
    routings.forEach((group, routing) -> routing.updateServers(view.serversOf(group), nowNanos));
  }

  /** The hosts that send statements to a group's servers: its holders, or all. */
  private Map<GroupId, FleetSize> fleets(View view) {
    int hosts = (int) view.hosts().values().stream().filter(HostState::acceptsNewWork).count();
    Map<GroupId, FleetSize> sizes = new HashMap<>();
    for (GroupState group : view.groups().values()) {
      int senders = assignment.holders(view, group.id()).map(List::size).orElse(hosts);
      sizes.put(group.id(), new FleetSize(senders, group.slotsPerServer()));
    }
    return Map.copyOf(sizes);
  }
}
