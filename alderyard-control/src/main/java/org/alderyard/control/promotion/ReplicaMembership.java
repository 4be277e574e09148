package org.alderyard.control.promotion;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;

/**
 * Determines the replicas of a group that may hold acknowledged commits.
 *
 * <p>Not thread-safe; performs no I/O and reads no clock.
 */
final class ReplicaMembership {
  /**
   * The time for which a server that has left still counts. Its successor at its address, which
   * receives its log, registers within this time and then counts in its place.
   */
  static final long GONE_SERVER_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Map<ServerId, Long> goneSinceNanos = new HashMap<>();

  /** Records which servers have left, and forgets those that are no longer in the view. */
  void update(View view, List<GroupState> groups, long nowNanos) {
    goneSinceNanos
        .keySet()
        .removeIf(id -> view.server(id).filter(ReplicaMembership::isGone).isEmpty());
    for (GroupState group : groups) {
      view.serversOf(group.id()).stream()
          .filter(ReplicaMembership::isGone)
          .forEach(server -> goneSinceNanos.putIfAbsent(server.id(), nowNanos));
    }
  }

  /** Returns all servers of the group except the primary that may hold acknowledged commits. */
  List<ServerState> replicasOf(View view, GroupState group, long nowNanos) {
    List<ServerState> servers = view.serversOf(group.id());
    return servers.stream()
        .filter(server -> !group.primary().equals(Optional.of(server.id())))
        .filter(server -> !isGone(server) || mayHoldCommits(server, servers, nowNanos))
        .toList();
  }

  private boolean mayHoldCommits(ServerState gone, List<ServerState> servers, long nowNanos) {
    long sinceNanos = goneSinceNanos.getOrDefault(gone.id(), nowNanos);
    boolean hasSuccessor =
        servers.stream()
            .anyMatch(server -> !isGone(server) && server.address().equals(gone.address()));
    return !hasSuccessor && nowNanos - sinceNanos < GONE_SERVER_NANOS;
  }

  private static boolean isGone(ServerState server) {
    return server.status() == ServerStatus.GONE;
  }
}
