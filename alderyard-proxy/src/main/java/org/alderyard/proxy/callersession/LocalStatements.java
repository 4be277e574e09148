package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionReply;

/** Runs statements over this host's own connections. */
final class LocalStatements {
  private final SessionContext context;
  private final ReadFloors floors;

  LocalStatements(SessionContext context, ReadFloors floors) {
    this.context = context;
    this.floors = floors;
  }

  SessionContext context() {
    return context;
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
    CompletableFuture<ServerRequirement> futureRequirement =
        task.kind() == StatementKind.WRITE
            ? CompletableFuture.completedFuture(ServerRequirement.primary())
            : floors
                .floor(task.database(), written)
                .thenApply(
                    floor ->
                        floor
                            .map(ServerRequirement::atFloor)
                            .orElseGet(ServerRequirement::verifiedPrimary));
    return futureRequirement
        .thenCompose(requirement -> new StatementRun(context, task, requirement).run())
        .thenApply(StatementRun.Result::reply);
  }
}
