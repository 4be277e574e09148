package org.alderyard.proxy.transaction;

import java.util.Optional;
import org.alderyard.proxy.write.WriteAnswer;

/**
 * The way in which a transaction ended.
 *
 * @param kind the kind of end
 * @param answer the answer to the commit; empty unless the commit was acknowledged
 */
record TransactionEnd(Kind kind, Optional<WriteAnswer> answer) {

  /** The kinds of ends. */
  enum Kind {
    /** The commit was acknowledged. */
    COMMITTED,
    /** The commit was sent, and its effect is unknown. */
    COMMIT_UNKNOWN,
    /** The caller or the server rolled the transaction back. */
    ROLLED_BACK,
    /** The transaction was idle or open for too long. */
    EXPIRED,
    /** The connection broke before a commit was sent. */
    CONNECTION_BROKE
  }

  static TransactionEnd of(Kind kind) {
    return new TransactionEnd(kind, Optional.empty());
  }
}
