package org.alderyard.control.promotion;

import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;

/** Determines the replicas of a group that may hold acknowledged commits. */
final class ReplicaMembership {

  private ReplicaMembership() {}

  /**
   * Returns all servers of the group except the primary that may hold acknowledged commits.
   *
   * <p>A server that has left, or whose lease ended while it was leaving, counts until another
   * server registers at its address: that server receives its log and counts in its place. Until
   * then it may still run, and it may be the only one that holds a commit.
   */
  static List<ServerState> replicasOf(View view, GroupState group) {
    List<ServerState> servers = view.serversOf(group.id());
    return servers.stream()
        .filter(server -> !group.primary().equals(Optional.of(server.id())))
        .filter(server -> !isGone(server) || !hasSuccessor(server, servers))
        .toList();
  }

  /** Returns how many replicas have received a commit of the group before it is acknowledged. */
  static int syncReplicas(View view, GroupId group) {
    return view.configuration().map(configuration -> configuration.syncReplicasOf(group)).orElse(0);
  }

  private static boolean hasSuccessor(ServerState gone, List<ServerState> servers) {
    return servers.stream()
        .anyMatch(server -> !isGone(server) && server.address().equals(gone.address()));
  }

  private static boolean isGone(ServerState server) {
    return server.status() == ServerStatus.GONE;
  }
}
