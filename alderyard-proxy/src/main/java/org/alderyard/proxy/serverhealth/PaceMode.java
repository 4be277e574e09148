package org.alderyard.proxy.serverhealth;

/** How the load of a server that has just started or recovered grows. */
public enum PaceMode {
  /** Such a server gets statements like any other. */
  NONE,
  /** Its concurrent statements are bounded, and its answers determine the bound. */
  ADAPTIVE
}
