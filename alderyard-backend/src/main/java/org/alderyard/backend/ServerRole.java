package org.alderyard.backend;

/** What a backend server is in its group, as it reports itself. */
public enum ServerRole {
  /** It takes writes of its term. */
  PRIMARY,
  /** It follows the log of a primary. */
  REPLICA,
  /** It takes no writes and follows no one until it is promoted or told whom to follow. */
  FENCED
}
