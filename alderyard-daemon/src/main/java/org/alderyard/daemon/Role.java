package org.alderyard.daemon;

/** Role of a daemon process. */
public enum Role {
  /** Serves callers. */
  PROXY,
  /** Stores the control state on disk. */
  CONTROL
}
