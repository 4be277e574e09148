package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.SessionReply;

/** Passes statements on to hosts that hold connections to their group. */
interface Forwarding {
  /** Runs everything on this host. */
  Forwarding NONE =
      new Forwarding() {
        @Override
        public CompletableFuture<Optional<SessionReply>> single(
            StatementTask task, Optional<GroupRouting.Floor> written) {
          return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletableFuture<Optional<Started>> first(
            StatementTask task, boolean readOnly, Optional<GroupRouting.Floor> written) {
          return CompletableFuture.completedFuture(Optional.empty());
        }
      };

  /**
   * The first statement of a transaction that runs elsewhere.
   *
   * @param reply the answer for the caller
   * @param place where the further ones go, if the transaction is open
   */
  record Started(SessionReply reply, Optional<TransactionPlace> place) {}

  /**
   * Runs a statement that stands alone.
   *
   * @param written the position of the session's own last write
   * @return never fails; empty if it ran nowhere and is to run on this host
   */
  CompletableFuture<Optional<SessionReply>> single(
      StatementTask task, Optional<GroupRouting.Floor> written);

  /**
   * Runs the first statement of a transaction.
   *
   * @param readOnly whether the transaction only reads
   * @param written the position of the session's own last write
   * @return never fails; empty if it ran nowhere and is to run on this host
   */
  CompletableFuture<Optional<Started>> first(
      StatementTask task, boolean readOnly, Optional<GroupRouting.Floor> written);
}
