package org.alderyard.daemon;

/** What a process does. */
public enum Role {
  /** It serves callers. */
  PROXY,
  /** It keeps the control state on its disk. */
  CONTROL
}
