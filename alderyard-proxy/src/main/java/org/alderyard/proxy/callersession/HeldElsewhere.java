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
 * A transaction of a caller of this host on a connection of another host.
 *
 * <p>Without an answer of the holder it keeps nothing, as no commit was sent; only a commit that
 * may have arrived leaves a doubt.
 *
 * @param forwarding the way there
 * @param holder the host with the connection
 * @param transaction its number
 */
record HeldElsewhere(HolderForwarding forwarding, HostState holder, long transaction)
    implements TransactionPlace {
  private static final Logger log = LoggerFactory.getLogger(HeldElsewhere.class);

  @Override
  public CompletableFuture<SessionReply> run(
      TransactionOwner owner, OpenTransaction open, StatementTask task) {
    long sent = forwarding.parts().clock().nowNanos();
    return forwarding
        .calls()
        .run(
            holder,
            forwarding.message(task, Optional.empty(), sent).setTransaction(transaction).build(),
            HolderForwarding.timeout(task, sent))
        .handle(
            (message, failure) -> {
              if (failure != null) {
                return lost(owner, open, task, Futures.typed(failure));
              }
              SessionReply reply = HeldStatementCodec.reply(message);
              ended(owner, open, task, reply);
              return reply;
            });
  }

  private static void ended(
      TransactionOwner owner, OpenTransaction open, StatementTask task, SessionReply reply) {
    if (reply.state() == TransactionState.OPEN) {
      return;
    }
    // The holder has given the connection back.
    open.end();
    owner.transactionEnded();
    if (task.ending() && reply.succeeded() && open.hasWritten()) {
      owner.remember(open.database(), reply);
    }
  }

  private SessionReply lost(
      TransactionOwner owner,
      OpenTransaction open,
      StatementTask task,
      AlderyardException failure) {
    forwarding.holders().failed(holder, forwarding.parts().clock().nowNanos());
    open.end();
    owner.transactionEnded();
    rollBack();
    boolean inDoubt = task.ending() && open.hasWritten() && failure.outcome() != Outcome.NOT_RUN;
    log.warn(
        "event=transaction-lost id={} database={} holder={} commit={} wrote={} reason={}"
            + " outcome={}",
        task.request().id().orElse("-"),
        open.database().name(),
        holder.id(),
        task.ending(),
        open.hasWritten(),
        failure.code(),
        inDoubt ? "OUTCOME_UNKNOWN" : "NOT_KEPT");
    return SessionReply.refused(
        inDoubt ? RefusalCode.IN_DOUBT : RefusalCode.ABORTED,
        "the host that holds the connection gave no answer",
        task.ending() ? TransactionState.NONE : TransactionState.FAILED);
  }

  @Override
  public void rollBack() {
    forwarding.end(holder, transaction);
  }
}
