package org.alderyard.backend;

/** Role of a backend server in its group, as the server reports it. */
public enum ServerRole {
  /** Accepts writes of its term. */
  PRIMARY,
  /** Replicates the log of a primary. */
  REPLICA,
  /** Accepts no writes and replicates from no server until a promote or follow call. */
  FENCED
}
