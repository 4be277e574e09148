package org.alderyard.daemon;

/** Format of log lines. */
public enum LogFormat {
  /** Lines of {@code key=value} pairs. */
  TEXT,
  /** One JSON object per line. */
  JSON
}
