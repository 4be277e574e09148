package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionReply;

/** Runs statements over this host's own connections. */
final class LocalStatements {
  private final SessionParts parts;
  private final ReadFloors floors;

  LocalStatements(SessionParts parts, ReadFloors floors) {
    this.parts = parts;
    this.floors = floors;
  }

  SessionParts parts() {
    return parts;
  }

  ReadFloors floors() {
    return floors;
  }

  /**
   * Runs a statement that is not part of a transaction.
   *
   * @param written the position of the session's last write
   * @return a future that never completes exceptionally
   */
  CompletableFuture<SessionReply> single(StatementTask task, Optional<GroupRouting.Floor> written) {
    CompletableFuture<ServerDemand> futureRequirement =
        task.kind() == StatementKind.WRITE
            ? CompletableFuture.completedFuture(ServerDemand.primary())
            : floors
                .floor(task.database(), written)
                .thenApply(
                    floor ->
                        floor.map(ServerDemand::atFloor).orElseGet(ServerDemand::verifiedPrimary));
    return futureRequirement
        .thenCompose(requirement -> new StatementRun(parts, task, requirement).run())
        .thenApply(StatementRun.Result::reply);
  }
}
