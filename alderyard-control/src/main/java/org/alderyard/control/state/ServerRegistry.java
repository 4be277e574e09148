package org.alderyard.control.state;

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

/** What backend servers announced; the view holds the servers themselves. */
final class ServerRegistry {
  /** Servers without a lease that stay in the view, so that their old incarnation is known. */
  static final int DEAD_LIMIT = 1_000;

  private final Map<String, Integer> leaseMillis = new TreeMap<>();
  // In the order in which their leases ended.
  private final Set<String> dead = new LinkedHashSet<>();
  // Whether a server that reports its role is a primary, by its last word.
  private final Map<String, Boolean> reportedPrimary = new TreeMap<>();

  /** Returns what an announcement changes. */
  List<ObjectState> announce(Announcement announcement, View view) {
    Server announced =
        announcement.getServer().toBuilder()
            .setStatus(announcement.getLeaving() ? Status.LEAVING : Status.ACTIVE)
            .build();
    Optional<ServerState> known = view.server(new ServerId(announced.getId()));
    if (known.isPresent() && AnnouncementRule.late(announced, known.get())) {
      return List.of();
    }
    List<ObjectState> changed = new ArrayList<>();
    if (announcement.getReportsRole() && !takeAddress(announced, view, changed)) {
      return List.of();
    }
    dead.remove(announced.getId());
    leaseMillis.put(announced.getId(), announcement.getLeaseMillis());
    changed.add(ObjectState.newBuilder().setServer(announced).build());
    if (announcement.getReportsRole()) {
      newPrimary(announcement, known, view).ifPresent(changed::add);
    } else {
      firstPrimary(announcement, view).ifPresent(changed::add);
    }
    return changed;
  }

  /**
   * Removes the server that had the address before; returns false when this one is the older.
   *
   * <p>Guards against an announcement that arrives after its sender has ended and another server
   * has started at its address: work for the one would reach the other.
   */
  private boolean takeAddress(Server announced, View view, List<ObjectState> changed) {
    for (ServerState other : view.servers().values()) {
      boolean sameAddress =
          other.address().equals(StateCodec.address(announced.getAddress()))
              && !other.id().value().equals(announced.getId())
              && other.status() != ServerStatus.GONE;
      if (sameAddress && other.incarnation() > announced.getIncarnation()) {
        return false;
      }
      if (sameAddress) {
        forget(other.id().value());
        changed.add(ObjectState.newBuilder().setRemovedServer(other.id().value()).build());
      }
    }
    return true;
  }

  /**
   * A server that becomes the primary by its own word is the group's from then on. One that only
   * repeats that word changes nothing: a replaced primary that is cut off still says so.
   */
  private Optional<ObjectState> newPrimary(
      Announcement announcement, Optional<ServerState> known, View view) {
    Server announced = announcement.getServer();
    boolean before =
        known.filter(server -> server.incarnation() == announced.getIncarnation()).isPresent()
            && reportedPrimary.getOrDefault(announced.getId(), false);
    reportedPrimary.put(announced.getId(), announcement.getPrimary());
    Optional<GroupState> group = view.group(new GroupId(announced.getGroup()));
    boolean news =
        announcement.getPrimary()
            && group.isPresent()
            && (!before || group.get().primary().isEmpty());
    return news ? Optional.of(led(group.get(), announced.getId())) : Optional.empty();
  }

  private static ObjectState led(GroupState group, String primary) {
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

  /** Returns the group with the primary that its servers report, where it has none yet. */
  GroupState withReportedPrimary(GroupState group, View view) {
    if (group.primary().isPresent()) {
      return group;
    }
    return view.serversOf(group.id()).stream()
        .filter(server -> reportedPrimary.getOrDefault(server.id().value(), false))
        .findFirst()
        .map(server -> StateCodec.group(led(group, server.id().value()).getGroup()))
        .orElse(group);
  }

  /** Returns what a server that reports its role said last; empty for other servers. */
  Optional<Boolean> reportedPrimary(String server) {
    return Optional.ofNullable(reportedPrimary.get(server));
  }

  /**
   * A group that had no primary yet takes over the one that it runs with. Where its earlier terms
   * began is not known, so none of their entries is taken for lost.
   */
  private static Optional<ObjectState> firstPrimary(Announcement announcement, View view) {
    GroupId id = new GroupId(announcement.getServer().getGroup());
    Optional<GroupState> group = view.group(id);
    if (!announcement.getPrimary() || group.isEmpty() || group.get().term() > 0) {
      return Optional.empty();
    }
    GroupState adopted =
        new GroupState(
            id,
            announcement.getTerm(),
            Optional.of(new ServerId(announcement.getServer().getId())),
            List.of(),
            group.get().slotsPerServer(),
            group.get().connectionsPerServer());
    return Optional.of(ObjectState.newBuilder().setGroup(StateCodec.groupMessage(adopted)).build());
  }

  /** Returns what the end of a lease changes; that of another incarnation changes nothing. */
  List<ObjectState> expire(ServerExpiry expiry, View view) {
    Optional<ServerState> known = view.server(new ServerId(expiry.getServer()));
    boolean current =
        known.isPresent()
            && (expiry.getIncarnation() == 0
                || known.get().incarnation() == expiry.getIncarnation());
    if (!current) {
      return List.of();
    }
    boolean left =
        expiry.getSaidGoodbye()
            || reportedPrimary.containsKey(expiry.getServer())
                && known.get().status() == ServerStatus.LEAVING;
    Status ended = left ? Status.GONE : Status.EXPIRED;
    if (known.get().status() == ServerStatus.GONE
        || known.get().status().name().equals(ended.name())) {
      return List.of();
    }
    List<ObjectState> changed = new ArrayList<>();
    Server expired = StateCodec.serverMessage(known.get()).toBuilder().setStatus(ended).build();
    changed.add(ObjectState.newBuilder().setServer(expired).build());
    dead.add(expiry.getServer());
    if (dead.size() > DEAD_LIMIT) {
      String oldest = dead.iterator().next();
      forget(oldest);
      changed.add(ObjectState.newBuilder().setRemovedServer(oldest).build());
    }
    return changed;
  }

  /** Drops what is remembered of a server that was removed. */
  void forget(String server) {
    dead.remove(server);
    leaseMillis.remove(server);
    reportedPrimary.remove(server);
  }

  int leaseMillis(String server) {
    return leaseMillis.getOrDefault(server, 0);
  }

  void store(ControlSnapshot.Builder snapshot) {
    snapshot.addAllDeadServers(dead);
    leaseMillis.forEach(
        (server, millis) ->
            snapshot.addServerLeases(
                ServerLease.newBuilder()
                    .setServer(server)
                    .setLeaseMillis(millis)
                    .setReportsRole(reportedPrimary.containsKey(server))
                    .setPrimary(reportedPrimary.getOrDefault(server, false))));
  }

  void restore(ControlSnapshot snapshot) {
    leaseMillis.clear();
    dead.clear();
    dead.addAll(snapshot.getDeadServersList());
    reportedPrimary.clear();
    for (ServerLease lease : snapshot.getServerLeasesList()) {
      leaseMillis.put(lease.getServer(), lease.getLeaseMillis());
      if (lease.getReportsRole()) {
        reportedPrimary.put(lease.getServer(), lease.getPrimary());
      }
    }
  }
}
