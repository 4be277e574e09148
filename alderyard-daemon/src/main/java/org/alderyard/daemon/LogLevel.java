package org.alderyard.daemon;

/** The least level of lines that are logged. */
public enum LogLevel {
  /** Failures that need an operator. */
  ERROR,
  /** Faults that the system deals with. */
  WARN,
  /** Decisions and changes of state. */
  INFO,
  /** Details for developers. */
  DEBUG
}
