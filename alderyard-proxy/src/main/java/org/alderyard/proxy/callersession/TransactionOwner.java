package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.common.view.DatabaseState;

/** Whose transaction it is: a caller's session on this host, or one on another host. */
interface TransactionOwner {
  /** Returns what a server must hold for a read; empty if it must be the primary. */
  CompletableFuture<Optional<GroupRouting.Floor>> floor(DatabaseState database);

  /** Remembers the position of a commit, for the reads that must see it. */
  void remember(DatabaseState database, SessionReply reply);

  /** Ends the transaction without keeping anything. */
  void rollBack();

  /** The transaction has ended, and its connection was given back. */
  void transactionEnded();
}
