package org.alderyard.backend;

/** How far a server must have come with a log entry. */
public enum Progress {
  /** Its log holds the entry. */
  HELD,
  /** Its reads show the entry. */
  APPLIED
}
