package org.alderyard.control.promotion;

import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;

/**
 * The result of a search for the replica to promote.
 *
 * @param server the replica to promote; empty if the search failed
 * @param failure why the search failed; empty on success
 * @param paused the replicas that may have stopped receiving commits
 */
record ReplicaChoice(Optional<ServerId> server, String failure, List<ServerState> paused) {

  /** Copies the list. */
  ReplicaChoice {
    paused = List.copyOf(paused);
  }

  static ReplicaChoice of(ServerId server, List<ServerState> paused) {
    return new ReplicaChoice(Optional.of(server), "", paused);
  }

  static ReplicaChoice failed(String reason, List<ServerState> paused) {
    return new ReplicaChoice(Optional.empty(), reason, paused);
  }
}
