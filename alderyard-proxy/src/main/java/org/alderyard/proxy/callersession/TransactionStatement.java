package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;

/**
 * One statement of an open transaction. The first statement selects the location of the
 * transaction, on this host or on a holder, and further statements run there.
 */
final class TransactionStatement {
  private final LocalStatements local;
  private final TransactionOwner owner;
  private final OpenTransaction open;
  private final StatementTask task;

  TransactionStatement(
      LocalStatements local, TransactionOwner owner, OpenTransaction open, StatementTask task) {
    this.local = local;
    this.owner = owner;
    this.open = open;
    this.task = task;
  }

  /**
   * Runs the statement.
   *
   * @param forwarder may run the first statement on another host
   * @param lastWrite the position of the session's last write
   * @return a future that never fails
   */
  CompletableFuture<SessionReply> run(
      StatementForwarder forwarder, Optional<GroupRouting.Floor> lastWrite) {
    if (task.kind() == StatementKind.WRITE) {
      open.markWritten();
    }
    Optional<TransactionLocation> location = open.location();
    if (location.isPresent()) {
      return location.get().run(owner, open, task);
    }
    return forwarder
        .forwardFirst(task, open.readOnly(), lastWrite)
        .thenCompose(
            forwarded ->
                forwarded
                    .map(remote -> handleFirstReply(remote.reply(), remote.location()))
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(this::runFirstLocally));
  }

  private CompletableFuture<SessionReply> runFirstLocally() {
    CompletableFuture<Optional<GroupRouting.Floor>> floor =
        open.readOnly()
            ? owner.readFloor(open.database())
            : CompletableFuture.completedFuture(Optional.empty());
    return floor
        .thenApply(
            readFloor ->
                readFloor
                    .map(ServerRequirement::readTransaction)
                    .orElseGet(ServerRequirement::transaction))
        .thenCompose(requirement -> local.first(task, requirement))
        .thenApply(
            result -> handleFirstReply(result.reply(), result.pinned().map(pinned -> pinned)));
  }

  private SessionReply handleFirstReply(
      SessionReply reply, Optional<TransactionLocation> location) {
    location.filter(assigned -> !open.tryAssign(assigned)).ifPresent(TransactionLocation::rollBack);
    if (reply.state() != TransactionState.OPEN) {
      owner.rollBack();
    }
    return reply;
  }
}
