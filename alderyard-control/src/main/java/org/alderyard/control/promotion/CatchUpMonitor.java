package org.alderyard.control.promotion;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.ReplicationClient;
import org.alderyard.backend.session.ReplicationStatus;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ReplicaCaughtUp;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out when a replica that started again holds the log of its primary, and records it in the
 * control log. From then on the replica counts as one that holds what it acknowledged.
 *
 * <p>A replica that has reached a position which the primary reported after the restart holds every
 * commit that it may have acknowledged before. The first position is kept, as a replica that lags
 * while commits go on never reaches the newest one.
 *
 * <p>The checks come from one thread at a time; the targets may be changed by the threads that
 * complete the calls of servers.
 */
final class CatchUpMonitor {
  private static final Logger log = LoggerFactory.getLogger(CatchUpMonitor.class);

  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final Duration CALL_TIMEOUT = ReplicaCalls.CALL_TIMEOUT;

  private final ControlLog controlLog;
  private final ReplicationClient replication;
  private final ReplicaStarts starts;
  private final Map<GroupId, Long> nextCheckNanos = new HashMap<>();
  private final Map<ServerId, Target> targets = new ConcurrentHashMap<>();

  CatchUpMonitor(ControlLog controlLog, ReplicationClient replication, ReplicaStarts starts) {
    this.controlLog = controlLog;
    this.replication = replication;
    this.starts = starts;
  }

  /**
   * A position that a restarted replica has to reach.
   *
   * @param incarnation the incarnation of the replica when the primary reported the position
   */
  private record Target(long incarnation, ServerId primary, long term, Position position) {
    boolean isFor(ServerState replica, ServerState leader, long leaderTerm) {
      return incarnation == replica.incarnation()
          && primary.equals(leader.id())
          && term == leaderTerm;
    }
  }

  /** Checks the restarted replicas of a group with synchronous replicas, if a check is due. */
  void check(View view, GroupState group, long nowNanos) {
    List<ServerState> restarted =
        ReplicaMembership.replicasOf(view, group).stream()
            .filter(server -> server.status() == ServerStatus.ACTIVE)
            .filter(server -> starts.mayLackCommits(server.id()))
            .toList();
    boolean due = nextCheckNanos.getOrDefault(group.id(), nowNanos) - nowNanos <= 0;
    if (restarted.isEmpty() || !due) {
      return;
    }
    nextCheckNanos.put(group.id(), nowNanos + CHECK_INTERVAL_NANOS);
    group
        .primary()
        .flatMap(view::server)
        .ifPresent(primary -> compareWithPrimary(primary, restarted));
  }

  private void compareWithPrimary(ServerState primary, List<ServerState> restarted) {
    replication
        .probe(primary, CALL_TIMEOUT)
        .thenAccept(
            leading -> {
              if (leading.primary()) {
                restarted.forEach(server -> compare(server, target(server, primary, leading)));
              }
            })
        .exceptionally(failure -> null);
  }

  /** Returns the first position that this primary reported since the replica started again. */
  private Target target(ServerState server, ServerState primary, ReplicationStatus leading) {
    return targets.compute(
        server.id(),
        (id, known) ->
            known != null && known.isFor(server, primary, leading.term())
                ? known
                : new Target(
                    server.incarnation(), primary.id(), leading.term(), leading.received()));
  }

  private void compare(ServerState server, Target target) {
    replication
        .probe(server, CALL_TIMEOUT)
        .thenAccept(
            status -> {
              if (status.term() == target.term()
                  && status.received().compareTo(target.position()) >= 0) {
                targets.remove(server.id());
                recordCaughtUp(server);
              }
            })
        .exceptionally(failure -> null);
  }

  private void recordCaughtUp(ServerState server) {
    log.info("event=replica-caught-up server={} incarnation={}", server.id(), server.incarnation());
    controlLog.propose(
        Command.newBuilder()
            .setReplicaCaughtUp(
                ReplicaCaughtUp.newBuilder()
                    .setServer(server.id().value())
                    .setIncarnation(server.incarnation()))
            .build()
            .toByteString());
  }
}
