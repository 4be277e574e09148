package org.alderyard.backend;

/** Whether a statement may change data. */
public enum StatementKind {
  /** Changes no data. */
  READ,
  /** May change data and runs on the primary only. */
  WRITE
}
