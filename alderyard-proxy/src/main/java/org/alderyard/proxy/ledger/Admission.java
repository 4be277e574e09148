package org.alderyard.proxy.ledger;

import java.util.concurrent.CompletableFuture;
import org.alderyard.proxy.write.WriteAnswer;

/**
 * What the ledger says to a request.
 *
 * @param kind what follows
 * @param outcome what becomes of the one run of the request; null unless it runs or has run
 */
record Admission(Kind kind, CompletableFuture<WriteAnswer> outcome) {

  /** What follows. */
  enum Kind {
    /** It is new: the asker runs it and completes the outcome. */
    RUN,
    /** It was admitted before: the outcome is the answer. */
    REPEATED,
    /** The id was used for other content. */
    REUSED,
    /** It is older than the ledger remembers. */
    TOO_OLD,
    /** It names a time that has not come. */
    IN_FUTURE,
    /** The owner before this one may have admitted it. */
    OWNER_CHANGED,
    /** The ledger is full. */
    FULL
  }
}
