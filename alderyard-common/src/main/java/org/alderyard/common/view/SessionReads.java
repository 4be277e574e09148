package org.alderyard.common.view;

/** What the reads of a database's sessions must see. */
public enum SessionReads {
  /** Everything that was acknowledged. */
  NEWEST,
  /** Everything that was acknowledged longer ago than the database's bound. */
  BOUNDED,
  /** The same, and what the session itself wrote. */
  OWN_WRITES
}
