package org.alderyard.backend;

/** How far a server must have processed a log entry. */
public enum LogProgress {
  /** The entry is in the server's log. */
  HELD,
  /** The entry is applied and visible to reads. */
  APPLIED
}
