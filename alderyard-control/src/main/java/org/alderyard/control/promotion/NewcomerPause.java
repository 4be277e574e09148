package org.alderyard.control.promotion;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Pauses replicas that start while a promotion of their group is in progress.
 *
 * <p>The choice of the server to promote does not know of them. If one of them received commits,
 * the primary would acknowledge these, and the promoted server would lack them. Thread-safe.
 */
final class NewcomerPause {
  private static final Logger log = LoggerFactory.getLogger(NewcomerPause.class);

  private final ReplicaCalls calls;
  // The incarnation of each replica that has not been paused yet.
  private final Map<ServerId, Long> unpaused = new ConcurrentHashMap<>();

  NewcomerPause(ReplicaCalls calls) {
    this.calls = calls;
  }

  /** Records that a replica has registered and has to be paused. */
  void add(ServerState server) {
    unpaused.put(server.id(), server.incarnation());
  }

  /** Returns whether a replica has registered and has not been paused since. */
  boolean contains(ServerState server) {
    return Long.valueOf(server.incarnation()).equals(unpaused.get(server.id()));
  }

  /** Removes a replica that does not have to be paused any more. */
  void remove(ServerState server) {
    unpaused.remove(server.id(), server.incarnation());
  }

  /**
   * Pauses a replica in a term above that of all replicas of its group.
   *
   * @param replicas the other replicas; those that do not respond do not count
   * @return whether the replica is paused; never fails
   */
  CompletableFuture<Boolean> pause(ServerState server, List<ServerState> replicas) {
    List<ServerState> all = new ArrayList<>(replicas);
    all.removeIf(replica -> replica.id().equals(server.id()));
    all.add(server);
    return calls
        .probe(all)
        .thenCompose(
            reports ->
                calls.pause(List.of(server), SynchronousReplicaSearch.newestTerm(reports) + 1))
        .handle(
            (paused, failure) -> {
              boolean done = failure == null && !paused.isEmpty();
              log.info(
                  "event=newcomer-paused group={} server={} incarnation={} paused={}",
                  server.group(),
                  server.id(),
                  server.incarnation(),
                  done);
              if (done) {
                remove(server);
              }
              return done;
            });
  }
}
