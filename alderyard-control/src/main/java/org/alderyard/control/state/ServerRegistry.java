package org.alderyard.control.state;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
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

  /** Records an announcement and returns the objects that it changes. */
  List<ObjectState> announce(Announcement announcement, View view) {
    Server announced =
        announcement.getServer().toBuilder()
            .setStatus(announcement.getLeaving() ? Status.LEAVING : Status.ACTIVE)
            .build();
    Optional<ServerState> known = view.server(new ServerId(announced.getId()));
    if (known.isPresent() && AnnouncementFilter.isStale(announced, known.get())) {
      return List.of();
    }
    List<ObjectState> changed = new ArrayList<>();
    List<ServerState> predecessors = known.isPresent() ? List.of() : atAddressOf(announced, view);
    predecessors.forEach(
        predecessor ->
            restarts.recordFirstAnnouncement(
                new ServerId(announced.getId()), announced.getIncarnation(), predecessor));
    if (announcement.getReportsRole() && !claimAddress(announced, view, changed)) {
      restarts.remove(announced.getId());
      return List.of();
    }
    endedServers.remove(announced.getId());
    known.ifPresent(
        server -> restarts.recordAnnouncement(server, announced.getIncarnation(), view));
    leaseMillis.put(announced.getId(), announcement.getLeaseMillis());
    changed.add(ObjectState.newBuilder().setServer(announced).build());
    if (announcement.getReportsRole()) {
      reportedPrimaryChange(announcement, known, view).ifPresent(changed::add);
    } else {
      initialPrimary(announcement, view).ifPresent(changed::add);
    }
    return changed;
  }

  private static List<ServerState> atAddressOf(Server announced, View view) {
    InetSocketAddress address = StateCodec.address(announced.getAddress());
    return view.servers().values().stream()
        .filter(other -> other.address().equals(address))
        .filter(other -> !other.id().value().equals(announced.getId()))
        .toList();
  }

  /**
   * Removes other servers with the same address. Returns false if one of them has a greater
   * incarnation than the announcing server.
   *
   * <p>A delayed announcement of a stopped server may arrive after another server has started at
   * the same address. Without this check, requests for one server would reach the other.
   */
  private boolean claimAddress(Server announced, View view, List<ObjectState> changed) {
    for (ServerState other : view.servers().values()) {
      boolean sameAddress =
          other.address().equals(StateCodec.address(announced.getAddress()))
              && !other.id().value().equals(announced.getId())
              && other.status() != ServerStatus.GONE;
      if (sameAddress && other.incarnation() > announced.getIncarnation()) {
        return false;
      }
      if (sameAddress) {
        remove(other.id().value());
        changed.add(ObjectState.newBuilder().setRemovedServer(other.id().value()).build());
      }
    }
    return true;
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
    reportsPrimaryRole.put(announced.getId(), announcement.getPrimary());
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

  /**
   * Ends the lease of a server and returns the changed objects. An expiry for another incarnation
   * changes nothing.
   */
  List<ObjectState> expire(ServerExpiry expiry, View view) {
    Optional<ServerState> known = view.server(new ServerId(expiry.getServer()));
    boolean current =
        known.isPresent()
            && (expiry.getIncarnation() == 0
                || known.get().incarnation() == expiry.getIncarnation());
    if (!current) {
      return List.of();
    }
    boolean deregistered =
        expiry.getSaidGoodbye()
            || reportsPrimaryRole.containsKey(expiry.getServer())
                && known.get().status() == ServerStatus.LEAVING;
    Status endStatus = deregistered ? Status.GONE : Status.EXPIRED;
    if (known.get().status() == ServerStatus.GONE
        || known.get().status().name().equals(endStatus.name())) {
      return List.of();
    }
    List<ObjectState> changed = new ArrayList<>();
    Server expired = StateCodec.serverMessage(known.get()).toBuilder().setStatus(endStatus).build();
    changed.add(ObjectState.newBuilder().setServer(expired).build());
    endedServers.add(expiry.getServer());
    if (endedServers.size() > MAX_ENDED_SERVERS) {
      String oldest = endedServers.iterator().next();
      remove(oldest);
      changed.add(ObjectState.newBuilder().setRemovedServer(oldest).build());
    }
    return changed;
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
