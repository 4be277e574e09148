package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;

/**
 * One statement of an open transaction: the first one looks for a place, here or at a host that
 * holds connections, and the others run there.
 */
final class TransactionStatement {
  private final SessionParts parts;
  private final TransactionOwner owner;
  private final OpenTransaction open;
  private final StatementTask task;

  TransactionStatement(
      SessionParts parts, TransactionOwner owner, OpenTransaction open, StatementTask task) {
    this.parts = parts;
    this.owner = owner;
    this.open = open;
    this.task = task;
  }

  /**
   * Runs it.
   *
   * @param forwarding may run the first statement elsewhere
   * @param written the position of the session's own last write
   * @return never fails
   */
  CompletableFuture<SessionReply> run(Forwarding forwarding, Optional<GroupRouting.Floor> written) {
    if (task.kind() == StatementKind.WRITE) {
      open.wrote();
    }
    Optional<TransactionPlace> place = open.place();
    if (place.isPresent()) {
      return place.get().run(owner, open, task);
    }
    return forwarding
        .first(task, open.readOnly(), written)
        .thenCompose(
            started ->
                started
                    .map(elsewhere -> begun(elsewhere.reply(), elsewhere.place()))
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(this::firstHere));
  }

  private CompletableFuture<SessionReply> firstHere() {
    CompletableFuture<Optional<GroupRouting.Floor>> floor =
        open.readOnly()
            ? owner.floor(open.database())
            : CompletableFuture.completedFuture(Optional.empty());
    return floor
        .thenApply(f -> f.map(ServerDemand::readTransaction).orElseGet(ServerDemand::transaction))
        .thenCompose(demand -> new StatementRun(parts, task, demand).run())
        .thenApply(result -> begun(result.reply(), result.pinned().map(pinned -> pinned)));
  }

  private SessionReply begun(SessionReply reply, Optional<TransactionPlace> place) {
    place.filter(found -> !open.runAt(found)).ifPresent(TransactionPlace::rollBack);
    if (reply.state() != TransactionState.OPEN) {
      owner.rollBack();
    }
    return reply;
  }
}
