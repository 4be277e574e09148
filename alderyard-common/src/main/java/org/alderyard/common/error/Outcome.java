package org.alderyard.common.error;

/** What is known of the effect of a request that did not succeed. */
public enum Outcome {
  /** It is proved that the request did not run and never will. */
  NOT_RUN,
  /** The request ran and the backend server refused it; it had no effect. */
  FAILED,
  /** The request may have run; only the request ledger or a read can tell. */
  OUTCOME_UNKNOWN
}
