package org.alderyard.daemon;

/** How a log line is written. */
public enum LogFormat {
  /** As {@code key=value} pairs. */
  TEXT,
  /** As one JSON object. */
  JSON
}
