package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.view.HostState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A transaction of a local caller that runs on a connection of another host.
 *
 * <p>A transaction whose holder does not reply is rolled back, as no commit was sent. The outcome
 * is unknown only if a commit may have reached the holder.
 *
 * @param forwarder sends the statements
 * @param holder the host with the connection
 * @param transaction the number of the transaction, unique among the transactions that this process
 *     forwards
 */
record HeldElsewhere(HolderForwarder forwarder, HostState holder, long transaction)
    implements TransactionLocation {
  private static final Logger log = LoggerFactory.getLogger(HeldElsewhere.class);

  @Override
  public CompletableFuture<SessionReply> run(
      TransactionOwner owner, OpenTransaction open, StatementTask task) {
    long sentNanos = forwarder.context().clock().nowNanos();
    return forwarder
        .client()
        .run(
            holder,
            forwarder
                .message(task, Optional.empty(), sentNanos)
                .setTransaction(transaction)
                .build(),
            HolderForwarder.replyTimeout(task, sentNanos))
        .handle(
            (message, failure) -> {
              if (failure != null) {
                return handleFailure(owner, open, task, Futures.toAlderyardException(failure));
              }
              SessionReply reply = HeldStatementCodec.reply(message);
              handleTransactionEnd(owner, open, task, reply);
              return reply;
            });
  }

  private static void handleTransactionEnd(
      TransactionOwner owner, OpenTransaction open, StatementTask task, SessionReply reply) {
    if (reply.state() == TransactionState.OPEN) {
      return;
    }
    // The holder has already released the connection.
    open.end();
    owner.transactionEnded();
    if (task.endsTransaction() && reply.succeeded() && open.hasWritten()) {
      owner.recordWrite(open.database(), reply);
    }
  }

  private SessionReply handleFailure(
      TransactionOwner owner,
      OpenTransaction open,
      StatementTask task,
      AlderyardException failure) {
    forwarder.selector().failed(holder, forwarder.context().clock().nowNanos());
    open.end();
    owner.transactionEnded();
    rollBack();
    boolean inDoubt =
        task.endsTransaction() && open.hasWritten() && failure.outcome() != Outcome.NOT_RUN;
    log.warn(
        "event=transaction-lost id={} database={} holder={} commit={} wrote={} reason={}"
            + " outcome={}",
        task.loggedId(),
        open.database().name(),
        holder.id(),
        task.endsTransaction(),
        open.hasWritten(),
        failure.code(),
        inDoubt ? "OUTCOME_UNKNOWN" : "NOT_KEPT");
    return SessionReply.refused(
        inDoubt ? RefusalCode.IN_DOUBT : RefusalCode.ABORTED,
        "the host that holds the connection did not reply",
        task.endsTransaction() ? TransactionState.NONE : TransactionState.FAILED);
  }

  @Override
  public void rollBack() {
    forwarder.rollBack(holder, transaction);
  }
}
