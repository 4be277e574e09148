package org.alderyard.proxy.write;

/** Why an attempt is repeated or not. */
enum RetryReason {
  /** The failure is the same on every attempt. */
  FINAL,
  /** The write may have run, and nothing proves a second attempt harmless. */
  MAY_HAVE_RUN,
  /** The time of the caller is over. */
  NO_TIME,
  /** Resends are above their share of the traffic. */
  NO_BUDGET,
  /** The server said, or never heard, that nothing ran. */
  DID_NOT_RUN,
  /** The ledger of the servers answers a write that ran without a second run. */
  LEDGER_PROVES
}
