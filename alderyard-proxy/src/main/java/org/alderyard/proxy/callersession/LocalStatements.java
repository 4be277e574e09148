package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionReply;

/** Runs statements that stand alone over this host's own connections. */
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
   * Runs a statement.
   *
   * @param written the position of the session's own last write
   * @return never fails
   */
  CompletableFuture<SessionReply> single(StatementTask task, Optional<GroupRouting.Floor> written) {
    CompletableFuture<ServerDemand> demand =
        task.kind() == StatementKind.WRITE
            ? CompletableFuture.completedFuture(ServerDemand.lead())
            : floors
                .floor(task.database(), written)
                .thenApply(
                    floor -> floor.map(ServerDemand::holding).orElseGet(ServerDemand::provedLead));
    return demand
        .thenCompose(known -> new StatementRun(parts, task, known).run())
        .thenApply(StatementRun.Result::reply);
  }
}
