package org.alderyard.proxy.serverhealth;

/** What came back from a server for a read that any server of the group may run. */
public enum ReadOutcome {
  /** The server ran the read. */
  ANSWERED,
  /** The server answered that the read failed, or gave no answer. */
  FAILED,
  /** The server had no free slot. */
  REFUSED
}
