package org.alderyard.control.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.control.ControlSnapshot;
import org.alderyard.protocol.generated.control.ReplicaCaughtUp;
import org.alderyard.protocol.generated.control.RestartedServer;

/**
 * The servers of groups with synchronous replicas that started again, until they are known to hold
 * the log of their primary.
 *
 * <p>A server may start again without its log, under the same id. The commits that it acknowledged
 * before may then be in the log of the primary alone.
 *
 * <p>Changes come one at a time; {@link #mayLackCommits} takes no lock.
 */
final class RestartTable {
  // The incarnation of each restarted server.
  private volatile Map<String, Long> restarted = Map.of();

  /**
   * Records the restart of a server, if its group has synchronous replicas.
   *
   * @param known the server as it was before
   * @param incarnation the announced incarnation
   */
  void recordAnnouncement(ServerState known, long incarnation, View view) {
    if (incarnation > known.incarnation() && isSynchronous(known.group(), view)) {
      update(next -> next.put(known.id().value(), incarnation));
    }
  }

  private static boolean isSynchronous(GroupId group, View view) {
    return view.configuration().filter(c -> c.syncReplicasOf(group) > 0).isPresent();
  }

  /**
   * Records the first announcement of a server at the address of another one, which it replaces.
   *
   * <p>It receives the log of a server that has drained, so that it lacks what that one lacks. A
   * replica that crashed hands nothing over, whatever it has acknowledged.
   *
   * @param group the group of the server
   * @param view the view before the announcement
   */
  void recordFirstAnnouncement(
      ServerId server, long incarnation, GroupId group, ServerState predecessor, View view) {
    if (mayLackCommits(predecessor.id()) || hasCrashed(predecessor, group, view)) {
      update(next -> next.put(server.value(), incarnation));
    }
  }

  /** Returns whether a replica that may have acknowledged commits has not announced its end. */
  private static boolean hasCrashed(ServerState replica, GroupId group, View view) {
    boolean announcedEnd =
        replica.status() == ServerStatus.LEAVING || replica.status() == ServerStatus.GONE;
    boolean isPrimary =
        view.group(group).flatMap(GroupState::primary).equals(Optional.of(replica.id()));
    return !announcedEnd
        && !isPrimary
        && replica.group().equals(group)
        && isSynchronous(group, view);
  }

  /** Removes a server that holds the log of its primary, unless it has started again since. */
  void recordCaughtUp(ReplicaCaughtUp caughtUp) {
    update(next -> next.remove(caughtUp.getServer(), caughtUp.getIncarnation()));
  }

  /** Removes a server that was removed from the view. */
  void remove(String server) {
    update(next -> next.remove(server));
  }

  private void update(Consumer<Map<String, Long>> change) {
    Map<String, Long> next = new HashMap<>(restarted);
    change.accept(next);
    restarted = Map.copyOf(next);
  }

  boolean mayLackCommits(ServerId server) {
    return restarted.containsKey(server.value());
  }

  void store(ControlSnapshot.Builder snapshot) {
    new TreeMap<>(restarted)
        .forEach(
            (server, incarnation) ->
                snapshot.addRestartedServers(
                    RestartedServer.newBuilder().setServer(server).setIncarnation(incarnation)));
  }

  void restore(ControlSnapshot snapshot) {
    restarted =
        snapshot.getRestartedServersList().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    RestartedServer::getServer,
                    RestartedServer::getIncarnation,
                    (first, last) -> last));
  }
}
