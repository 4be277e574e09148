package org.alderyard.proxy.statement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.monitor.ServerObservation;

/** Chooses a server for a read: a replica that has applied the session's position, if there is. */
final class ReadChoice {
  private final RandomGenerator random;

  ReadChoice(RandomGenerator random) {
    this.random = random;
  }

  Optional<ReadTarget> choose(
      View view, GroupState group, Freshness freshness, Position seen, GroupMonitor monitor) {
    Optional<ServerState> primary =
        group.primary().flatMap(view::server).filter(s -> s.status() == ServerStatus.ACTIVE);
    if (freshness.mode() == FreshnessMode.PRIMARY) {
      return primary.map(s -> new ReadTarget(s, false, ReadReason.PRIMARY_ASKED_FOR));
    }
    List<ServerState> replicas = new ArrayList<>();
    for (ServerState server : view.serversOf(group.id())) {
      boolean eligible =
          server.status() == ServerStatus.ACTIVE
              && !group.primary().equals(Optional.of(server.id()))
              && monitor.latest(server.id()).filter(o -> covers(o, group, seen)).isPresent();
      if (eligible) {
        replicas.add(server);
      }
    }
    if (replicas.isEmpty()) {
      return primary.map(s -> new ReadTarget(s, false, ReadReason.NO_REPLICA_ELIGIBLE));
    }
    ServerState chosen = replicas.get(random.nextInt(replicas.size()));
    return Optional.of(new ReadTarget(chosen, true, ReadReason.REPLICA_HAS_POSITION));
  }

  private static boolean covers(ServerObservation seen, GroupState group, Position wanted) {
    return seen.report().role() == ServerRole.REPLICA
        && seen.report().term() == group.term()
        && seen.report().applied().index() >= wanted.index();
  }
}
