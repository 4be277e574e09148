package org.alderyard.common.view;

/** The consistency of the reads in a database's sessions. */
public enum SessionReads {
  /** Reads see all acknowledged writes. */
  NEWEST,
  /** Reads see all writes that were acknowledged before the staleness bound of the database. */
  BOUNDED,
  /** Reads see what {@link #BOUNDED} reads see and the writes of their own session. */
  OWN_WRITES
}
