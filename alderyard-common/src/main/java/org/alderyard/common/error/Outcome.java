package org.alderyard.common.error;

/** What is known about the effect of a request that did not succeed. */
public enum Outcome {
  /** The request has not run and will never run. */
  NOT_RUN,
  /** The backend server ran the request and refused it; the request had no effect. */
  FAILED,
  /** The request may have run; only the request ledger or a read can determine whether it did. */
  OUTCOME_UNKNOWN
}
