package org.alderyard.control.state;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.ServerExpiry;
import org.alderyard.protocol.generated.control.ServerLease;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.Status;
import org.alderyard.protocol.view.StateCodec;

/**
 * Announced data of backend servers that is not in the view: leases, reported roles and the servers
 * whose lease has ended.
 */
final class ServerRegistry {
  /**
   * Maximum number of servers without a lease that stay in the view. Their last incarnation is kept
   * to detect stale announcements.
   */
  static final int MAX_ENDED_SERVERS = 1_000;

  private final Map<String, Integer> leaseMillis = new TreeMap<>();
  // Servers without a lease, in the order in which their leases ended.
  private final Set<String> endedServers = new LinkedHashSet<>();
  // Whether a server last reported that it is the primary; holds only servers that report their
  // role.
  private final Map<String, Boolean> reportsPrimaryRole = new TreeMap<>();
  private final RestartTable restarts = new RestartTable();

  /** Plans the record of an announcement. */
  Plan announce(Announcement announcement, View view) {
    Server announced =
        announcement.getServer().toBuilder()
            .setStatus(announcement.getLeaving() ? Status.LEAVING : Status.ACTIVE)
            .build();
    Optional<ServerState> known = view.server(new ServerId(announced.getId()));
    Plan plan = new Plan();
    if (known.isPresent() && AnnouncementFilter.isStale(announced, known.get())) {
      return plan;
    }
    List<ServerState> predecessors = known.isPresent() ? List.of() : atAddressOf(announced, view);
    if (announcement.getReportsRole() && isAddressOfNewerServer(announced, view)) {
      return plan.effect(() -> restarts.remove(announced.getId()));
    }
    predecessors.forEach(
        predecessor ->
            plan.effect(
                () ->
                    restarts.recordFirstAnnouncement(
                        new ServerId(announced.getId()),
                        announced.getIncarnation(),
                        new GroupId(announced.getGroup()),
                        predecessor,
                        view)));
    if (announcement.getReportsRole()) {
      removeOthersAtAddress(announced, view, plan);
    }
    plan.effect(() -> endedServers.remove(announced.getId()));
    known.ifPresent(
        server ->
            plan.effect(
                () -> restarts.recordAnnouncement(server, announced.getIncarnation(), view)));
    plan.effect(() -> leaseMillis.put(announced.getId(), announcement.getLeaseMillis()));
    plan.change(ObjectState.newBuilder().setServer(announced).build());
    if (announcement.getReportsRole()) {
      reportedPrimaryChange(announcement, known, view).ifPresent(plan::change);
      plan.effect(() -> reportsPrimaryRole.put(announced.getId(), announcement.getPrimary()));
    } else {
      initialPrimary(announcement, view).ifPresent(plan::change);
    }
    return plan;
  }

  private static List<ServerState> atAddressOf(Server announced, View view) {
    InetSocketAddress address = StateCodec.address(announced.getAddress());
    return view.servers().values().stream()
        .filter(other -> other.address().equals(address))
        .filter(other -> !other.id().value().equals(announced.getId()))
        .toList();
  }

  /**
   * Returns whether another server with the same address has a greater incarnation than the
   * announcing server.
   *
   * <p>A delayed announcement of a stopped server may arrive after another server has started at
   * the same address. Without this check, requests for one server would reach the other.
   */
  private static boolean isAddressOfNewerServer(Server announced, View view) {
    return presentAtAddressOf(announced, view)
        .anyMatch(other -> other.incarnation() > announced.getIncarnation());
  }

  /** Plans the removal of the other servers with the same address. */
  private void removeOthersAtAddress(Server announced, View view, Plan plan) {
    presentAtAddressOf(announced, view)
        .map(other -> other.id().value())
        .forEach(
            other -> {
              plan.effect(() -> remove(other));
              plan.change(ObjectState.newBuilder().setRemovedServer(other).build());
            });
  }

  private static Stream<ServerState> presentAtAddressOf(Server announced, View view) {
    return atAddressOf(announced, view).stream()
        .filter(other -> other.status() != ServerStatus.GONE);
  }

  /**
   * Returns the group with the announcing server as its new primary, if the server has changed its
   * role to primary or the group has none.
   *
   * <p>A repeated report of the primary role changes nothing, because a replaced primary that is
   * cut off keeps reporting it.
   */
  private Optional<ObjectState> reportedPrimaryChange(
      Announcement announcement, Optional<ServerState> known, View view) {
    Server announced = announcement.getServer();
    boolean wasPrimary =
        known.filter(server -> server.incarnation() == announced.getIncarnation()).isPresent()
            && reportsPrimaryRole.getOrDefault(announced.getId(), false);
    Optional<GroupState> group = view.group(new GroupId(announced.getGroup()));
    boolean isNewPrimary =
        announcement.getPrimary()
            && group.isPresent()
            && (!wasPrimary || group.get().primary().isEmpty());
    return isNewPrimary
        ? Optional.of(withPrimary(group.get(), announced.getId()))
        : Optional.empty();
  }

  private static ObjectState withPrimary(GroupState group, String primary) {
    GroupState next =
        new GroupState(
            group.id(),
            group.term() + 1,
            Optional.of(new ServerId(primary)),
            group.termHistory(),
            group.slotsPerServer(),
            group.connectionsPerServer());
    return ObjectState.newBuilder().setGroup(StateCodec.groupMessage(next)).build();
  }

  /**
   * Returns the group with the primary that its servers report, if the group has no primary yet.
   */
  GroupState withReportedPrimary(GroupState group, View view) {
    if (group.primary().isPresent()) {
      return group;
    }
    return view.serversOf(group.id()).stream()
        .filter(server -> reportsPrimaryRole.getOrDefault(server.id().value(), false))
        .findFirst()
        .map(server -> StateCodec.group(withPrimary(group, server.id().value()).getGroup()))
        .orElse(group);
  }

  /**
   * Returns whether the server last reported that it is the primary; empty for servers that don't
   * report their role.
   */
  Optional<Boolean> reportsPrimaryRole(String server) {
    return Optional.ofNullable(reportsPrimaryRole.get(server));
  }

  /**
   * Returns the group with the announced primary and term, if the group is in term 0.
   *
   * <p>The start positions of earlier terms are unknown, so the term history stays empty and none
   * of their entries counts as lost.
   */
  private static Optional<ObjectState> initialPrimary(Announcement announcement, View view) {
    GroupId id = new GroupId(announcement.getServer().getGroup());
    Optional<GroupState> group = view.group(id);
    if (!announcement.getPrimary() || group.isEmpty() || group.get().term() > 0) {
      return Optional.empty();
    }
    GroupState updated =
        new GroupState(
            id,
            announcement.getTerm(),
            Optional.of(new ServerId(announcement.getServer().getId())),
            List.of(),
            group.get().slotsPerServer(),
            group.get().connectionsPerServer());
    return Optional.of(ObjectState.newBuilder().setGroup(StateCodec.groupMessage(updated)).build());
  }

  /** Plans the end of a server's lease. An expiry for another incarnation changes nothing. */
  Plan expire(ServerExpiry expiry, View view) {
    Optional<ServerState> known = view.server(new ServerId(expiry.getServer()));
    boolean current =
        known.isPresent()
            && (expiry.getIncarnation() == 0
                || known.get().incarnation() == expiry.getIncarnation());
    if (!current) {
      return new Plan();
    }
    boolean deregistered =
        expiry.getSaidGoodbye()
            || reportsPrimaryRole.containsKey(expiry.getServer())
                && known.get().status() == ServerStatus.LEAVING;
    Status endStatus = deregistered ? Status.GONE : Status.EXPIRED;
    if (known.get().status() == ServerStatus.GONE
        || known.get().status().name().equals(endStatus.name())) {
      return new Plan();
    }
    Server expired = StateCodec.serverMessage(known.get()).toBuilder().setStatus(endStatus).build();
    Plan plan =
        new Plan()
            .change(ObjectState.newBuilder().setServer(expired).build())
            .effect(() -> endedServers.add(expiry.getServer()));
    boolean full =
        endedServers.size() >= MAX_ENDED_SERVERS && !endedServers.contains(expiry.getServer());
    if (full) {
      String oldest = endedServers.iterator().next();
      plan.effect(() -> remove(oldest))
          .change(ObjectState.newBuilder().setRemovedServer(oldest).build());
    }
    return plan;
  }

  /** Removes all data of a server that was removed from the view. */
  void remove(String server) {
    endedServers.remove(server);
    leaseMillis.remove(server);
    reportsPrimaryRole.remove(server);
    restarts.remove(server);
  }

  /** Returns the servers that started again and may lack commits that they acknowledged before. */
  RestartTable restarts() {
    return restarts;
  }

  int leaseMillis(String server) {
    return leaseMillis.getOrDefault(server, 0);
  }

  void store(ControlSnapshot.Builder snapshot) {
    snapshot.addAllDeadServers(endedServers);
    restarts.store(snapshot);
    leaseMillis.forEach(
        (server, millis) ->
            snapshot.addServerLeases(
                ServerLease.newBuilder()
                    .setServer(server)
                    .setLeaseMillis(millis)
                    .setReportsRole(reportsPrimaryRole.containsKey(server))
                    .setPrimary(reportsPrimaryRole.getOrDefault(server, false))));
  }

  void restore(ControlSnapshot snapshot) {
    restarts.restore(snapshot);
    leaseMillis.clear();
    endedServers.clear();
    endedServers.addAll(snapshot.getDeadServersList());
    reportsPrimaryRole.clear();
    for (ServerLease lease : snapshot.getServerLeasesList()) {
      leaseMillis.put(lease.getServer(), lease.getLeaseMillis());
      if (lease.getReportsRole()) {
        reportsPrimaryRole.put(lease.getServer(), lease.getPrimary());
      }
    }
  }
}
