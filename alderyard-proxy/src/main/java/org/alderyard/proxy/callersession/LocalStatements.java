package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.view.SessionReads;

/** Runs statements over this host's own connections. */
final class LocalStatements {
  private final SessionContext context;
  private final ReadFloors floors;
  private final OperationLimiter limiter;

  LocalStatements(SessionContext context, ReadFloors floors, OperationLimiter limiter) {
    this.context = context;
    this.floors = floors;
    this.limiter = limiter;
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
    boolean needsPrimary =
        task.kind() == StatementKind.WRITE || task.database().reads() == SessionReads.NEWEST;
    return begin(task, needsPrimary)
        .thenCompose(
            refusal ->
                refusal
                    .map(refused -> refusedReply(refused, TransactionState.NONE))
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(() -> run(task, written)));
  }

  /**
   * Begins an operation. One that can't be served takes nothing of its organisation's quota.
   *
   * @return empty if the operation may run
   */
  private CompletableFuture<Optional<Refusal>> begin(StatementTask task, boolean needsPrimary) {
    Optional<Refusal> refusal = StatementAdmission.screen(context, task, needsPrimary);
    return refusal.isPresent()
        ? CompletableFuture.completedFuture(refusal)
        : limiter.begin(task.owner(), task.database());
  }

  private static SessionReply refusedReply(Refusal refusal, TransactionState state) {
    return SessionReply.refused(refusal.code(), refusal.text(), state);
  }

  /**
   * Begins a transaction on this host with its first statement.
   *
   * @return a future that never completes exceptionally
   */
  CompletableFuture<StatementRun.Result> first(StatementTask task, ServerRequirement requirement) {
    return begin(task, requirement.needsPrimary())
        .thenCompose(
            refusal ->
                refusal
                    .map(refused -> refusedReply(refused, TransactionState.FAILED))
                    .map(reply -> new StatementRun.Result(reply, Optional.empty()))
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(() -> new StatementRun(context, task, requirement).run()));
  }

  private CompletableFuture<SessionReply> run(
      StatementTask task, Optional<GroupRouting.Floor> written) {
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
