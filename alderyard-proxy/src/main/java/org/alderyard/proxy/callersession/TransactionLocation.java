package org.alderyard.proxy.callersession;

import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.SessionReply;

/** Where the statements of a transaction run: on a connection of this host or on another host. */
interface TransactionLocation {
  /**
   * Runs a further statement of the transaction.
   *
   * @return a future that never fails
   */
  CompletableFuture<SessionReply> run(
      TransactionOwner owner, OpenTransaction open, StatementTask task);

  /** Rolls back the transaction. */
  void rollBack();
}
