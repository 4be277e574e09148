package org.alderyard.proxy.ledger;

import java.util.concurrent.CompletableFuture;
import org.alderyard.proxy.write.WriteAnswer;

/**
 * The decision of the ledger about a request.
 *
 * @param kind the decision
 * @param outcome the outcome of the only run of the request; null unless the request runs or has
 *     run
 */
record Admission(Kind kind, CompletableFuture<WriteAnswer> outcome) {

  /** The kinds of decisions. */
  enum Kind {
    /** The request is new: the owner runs it and completes the outcome. */
    RUN,
    /** The request was admitted before: the outcome is the answer. */
    REPEATED,
    /** The ID was used for other content. */
    REUSED,
    /** The request is older than the retention of the ledger. */
    TOO_OLD,
    /** The request has a timestamp in the future. */
    IN_FUTURE,
    /** A previous owner may have admitted the request. */
    OWNER_CHANGED,
    /** The ledger is full. */
    FULL
  }
}
