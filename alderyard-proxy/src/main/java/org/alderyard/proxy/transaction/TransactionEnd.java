package org.alderyard.proxy.transaction;

import java.util.Optional;
import org.alderyard.proxy.write.WriteAnswer;

/**
 * How a transaction ended.
 *
 * @param kind the way
 * @param answer the answer to its commit, if there is one
 */
record TransactionEnd(Kind kind, Optional<WriteAnswer> answer) {

  /** The ways. */
  enum Kind {
    /** Its commit was acknowledged. */
    COMMITTED,
    /** Its commit was sent, and its effect is not known. */
    COMMIT_UNKNOWN,
    /** The caller or the server dropped it. */
    ROLLED_BACK,
    /** It was idle, or open, for too long. */
    EXPIRED,
    /** Its connection broke before a commit was sent. */
    CONNECTION_BROKE
  }

  static TransactionEnd of(Kind kind) {
    return new TransactionEnd(kind, Optional.empty());
  }
}
