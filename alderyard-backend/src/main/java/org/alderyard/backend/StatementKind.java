package org.alderyard.backend;

/** Whether a statement may change data. */
public enum StatementKind {
  /** It changes nothing. */
  READ,
  /** It may change data and runs on the primary only. */
  WRITE
}
