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
    dead.remove(announced.getId());
    leaseMillis.put(announced.getId(), announcement.getLeaseMillis());
    List<ObjectState> changed = new ArrayList<>();
    changed.add(ObjectState.newBuilder().setServer(announced).build());
    firstPrimary(announcement, view).ifPresent(changed::add);
    return changed;
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
            && known.get().incarnation() == expiry.getIncarnation()
            && known.get().status() != ServerStatus.EXPIRED;
    if (!current) {
      return List.of();
    }
    List<ObjectState> changed = new ArrayList<>();
    Server expired =
        StateCodec.serverMessage(known.get()).toBuilder().setStatus(Status.EXPIRED).build();
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
  }

  int leaseMillis(String server) {
    return leaseMillis.getOrDefault(server, 0);
  }

  void store(ControlSnapshot.Builder snapshot) {
    snapshot.addAllDeadServers(dead);
    leaseMillis.forEach(
        (server, millis) ->
            snapshot.addServerLeases(
                ServerLease.newBuilder().setServer(server).setLeaseMillis(millis)));
  }

  void restore(ControlSnapshot snapshot) {
    leaseMillis.clear();
    dead.clear();
    dead.addAll(snapshot.getDeadServersList());
    snapshot
        .getServerLeasesList()
        .forEach(lease -> leaseMillis.put(lease.getServer(), lease.getLeaseMillis()));
  }
}
