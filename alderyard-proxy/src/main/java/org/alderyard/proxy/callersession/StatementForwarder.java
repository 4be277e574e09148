package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.SessionReply;

/** Forwards statements to hosts that hold connections to their group. */
interface StatementForwarder {
  /** Forwards no statement; every statement runs on this host. */
  StatementForwarder NONE =
      new StatementForwarder() {
        @Override
        public CompletableFuture<Optional<SessionReply>> forward(
            StatementTask task, Optional<GroupRouting.Floor> lastWrite) {
          return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletableFuture<Optional<ForwardedReply>> forwardFirst(
            StatementTask task, boolean readOnly, Optional<GroupRouting.Floor> lastWrite) {
          return CompletableFuture.completedFuture(Optional.empty());
        }
      };

  /**
   * The outcome of a statement that ran on a holder.
   *
   * @param reply the answer for the caller
   * @param location where to run further statements, if the statement left a transaction open
   */
  record ForwardedReply(SessionReply reply, Optional<TransactionLocation> location) {}

  /**
   * Forwards a statement outside a transaction.
   *
   * @param lastWrite the position of the session's last write
   * @return a future that never fails; empty if no holder ran the statement and it must run on this
   *     host
   */
  CompletableFuture<Optional<SessionReply>> forward(
      StatementTask task, Optional<GroupRouting.Floor> lastWrite);

  /**
   * Forwards the first statement of a transaction.
   *
   * @param readOnly whether the transaction only reads
   * @param lastWrite the position of the session's last write
   * @return a future that never fails; empty if no holder ran the statement and it must run on this
   *     host
   */
  CompletableFuture<Optional<ForwardedReply>> forwardFirst(
      StatementTask task, boolean readOnly, Optional<GroupRouting.Floor> lastWrite);
}
