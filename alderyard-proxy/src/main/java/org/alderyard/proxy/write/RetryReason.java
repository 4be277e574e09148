package org.alderyard.proxy.write;

/** The reason why a failed attempt is retried or not. */
enum RetryReason {
  /** Every attempt would fail in the same way. */
  FINAL,
  /** The write may have run, and no ledger prevents a second run. */
  MAY_HAVE_RUN,
  /** The deadline of the caller has passed. */
  NO_TIME,
  /** The retry budget is exhausted. */
  NO_BUDGET,
  /** The write did not run: the server refused it or never received it. */
  DID_NOT_RUN,
  /** The ledger of the servers prevents a second run and returns the first result. */
  LEDGER_PROVES
}
