package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.common.view.DatabaseState;

/**
 * The session of a transaction: a caller session on this host, or its counterpart for a caller of
 * another host.
 */
interface TransactionOwner {
  /**
   * Returns the position that a server must hold for a read of the transaction; empty if the read
   * must run on the primary.
   */
  CompletableFuture<Optional<GroupRouting.Floor>> readFloor(DatabaseState database);

  /** Records the position of a commit for reads that must see it. */
  void recordWrite(DatabaseState database, SessionReply reply);

  /** Rolls back the transaction. */
  void rollBack();

  /** Called after the transaction has ended and its connection was released. */
  void transactionEnded();
}
