package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.view.DatabaseState;

/** A transaction that runs on this host for a caller of another host. */
final class HeldTransaction implements TransactionOwner {
  private final LocalStatements local;
  private final OpenTransaction open;
  private final Optional<GroupRouting.Floor> lastWrite;
  private final Runnable onEnd;

  /**
   * Creates a transaction without a connection; its first statement acquires one.
   *
   * @param lastWrite the position of the session's last write
   * @param onEnd runs when the transaction has ended; may run more than once
   */
  HeldTransaction(
      LocalStatements local,
      OpenTransaction open,
      Optional<GroupRouting.Floor> lastWrite,
      Runnable onEnd) {
    this.local = local;
    this.open = open;
    this.lastWrite = lastWrite;
    this.onEnd = onEnd;
  }

  /** Runs the next statement; refuses one of another organisation. The future never fails. */
  CompletableFuture<SessionReply> run(StatementTask task) {
    if (!open.owner().equals(task.owner())) {
      return CompletableFuture.completedFuture(abortedReply(task));
    }
    if (!open.beginStatement()) {
      return CompletableFuture.completedFuture(abortedReply(task));
    }
    return new TransactionStatement(local, this, open, task)
        .run(StatementForwarder.NONE, lastWrite)
        .whenComplete(
            (reply, failure) -> {
              open.endStatement(local.context().clock().nowNanos())
                  .ifPresent(TransactionLocation::rollBack);
              if (failure != null || reply.state() != TransactionState.OPEN) {
                rollBack();
              }
            });
  }

  /** Returns the reply to a statement of a transaction that has already ended. */
  static SessionReply abortedReply(StatementTask task) {
    return SessionReply.refused(
        RefusalCode.ABORTED,
        "the transaction has ended",
        task.endsTransaction() ? TransactionState.NONE : TransactionState.FAILED);
  }

  /** Rolls the transaction back, after its running statement if there is one. */
  void requestEnd() {
    open.requestEnd().ifPresent(TransactionLocation::rollBack);
    onEnd.run();
  }

  boolean isIdleFor(long nowNanos, long idleNanos) {
    return open.isIdleFor(nowNanos, idleNanos);
  }

  @Override
  public CompletableFuture<Optional<GroupRouting.Floor>> readFloor(DatabaseState database) {
    return local.floors().floor(database, lastWrite);
  }

  @Override
  public void recordWrite(DatabaseState database, SessionReply reply) {
    // The caller's host records the position.
  }

  @Override
  public void rollBack() {
    open.end().ifPresent(TransactionLocation::rollBack);
    onEnd.run();
  }

  @Override
  public void transactionEnded() {
    onEnd.run();
  }
}
