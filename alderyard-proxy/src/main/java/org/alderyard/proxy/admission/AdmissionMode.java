package org.alderyard.proxy.admission;

/** How a host treats statements that no server can run at once. */
public enum AdmissionMode {
  /** Statements wait in order of priority and deadline, for up to their search time. */
  NONE,
  /** Statements that can't be served in time are refused on arrival. */
  DEADLINE
}
