package org.alderyard.backend.session;

/** Whether a session has a transaction. */
public enum TransactionState {
  /** It has none. */
  NONE,
  /** One is open. */
  OPEN,
  /** One is open and failed: it can only be ended, which keeps nothing. */
  FAILED
}
