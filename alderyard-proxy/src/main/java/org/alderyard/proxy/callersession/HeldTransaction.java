package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.view.DatabaseState;

/** A transaction on this host whose caller is on another one. */
final class HeldTransaction implements TransactionOwner {
  private final LocalStatements here;
  private final OpenTransaction open;
  private final Optional<GroupRouting.Floor> written;
  private final Runnable afterEnd;

  /**
   * Creates a transaction that has no connection yet.
   *
   * @param written the position of the session's own last write
   * @param afterEnd runs once it has ended
   */
  HeldTransaction(
      LocalStatements here,
      OpenTransaction open,
      Optional<GroupRouting.Floor> written,
      Runnable afterEnd) {
    this.here = here;
    this.open = open;
    this.written = written;
    this.afterEnd = afterEnd;
  }

  /** Runs the next statement; the future never fails. */
  CompletableFuture<SessionReply> run(StatementTask task) {
    if (!open.begin()) {
      return CompletableFuture.completedFuture(ended(task));
    }
    return new TransactionStatement(here.parts(), this, open, task)
        .run(Forwarding.NONE, written)
        .whenComplete(
            (reply, failure) -> {
              open.rest(here.parts().clock().nowNanos());
              if (failure != null || reply.state() != TransactionState.OPEN) {
                rollBack();
              }
            });
  }

  /** Returns the answer to a statement of a transaction that is no longer there. */
  static SessionReply ended(StatementTask task) {
    return SessionReply.refused(
        RefusalCode.ABORTED,
        "the transaction has ended",
        task.ending() ? TransactionState.NONE : TransactionState.FAILED);
  }

  boolean idleFor(long nowNanos, long nanos) {
    return open.idleFor(nowNanos, nanos);
  }

  @Override
  public CompletableFuture<Optional<GroupRouting.Floor>> floor(DatabaseState database) {
    return here.floors().floor(database, written);
  }

  @Override
  public void remember(DatabaseState database, SessionReply reply) {
    // The host that has the caller remembers it.
  }

  @Override
  public void rollBack() {
    open.end().ifPresent(TransactionPlace::rollBack);
    afterEnd.run();
  }

  @Override
  public void transactionEnded() {
    afterEnd.run();
  }
}
