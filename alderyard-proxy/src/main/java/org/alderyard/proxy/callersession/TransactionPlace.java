package org.alderyard.proxy.callersession;

import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.SessionReply;

/** Where a transaction runs from its first statement on. */
interface TransactionPlace {
  /**
   * Runs a further statement there.
   *
   * @return never fails
   */
  CompletableFuture<SessionReply> run(
      TransactionOwner owner, OpenTransaction open, StatementTask task);

  /** Ends the transaction there without keeping anything. */
  void rollBack();
}
