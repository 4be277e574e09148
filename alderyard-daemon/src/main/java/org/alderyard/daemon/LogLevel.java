package org.alderyard.daemon;

/** Minimum level of logged lines. */
public enum LogLevel {
  /** Failures that require an operator. */
  ERROR,
  /** Faults that the system handles itself. */
  WARN,
  /** Decisions and state changes. */
  INFO,
  /** Details for developers. */
  DEBUG
}
