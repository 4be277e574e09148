package org.alderyard.backend.session;

/** Transaction state of a session. */
public enum TransactionState {
  /** No transaction is open. */
  NONE,
  /** A transaction is open. */
  OPEN,
  /** A transaction is open but has failed; ending it discards its writes. */
  FAILED
}
