package org.alderyard.proxy.serverhealth;

/** Which observations of a server a host acts on. */
public enum ServerKnowledge {
  /** Only its own; no server is ejected. */
  LOCAL,
  /** Its own and those that other hosts report; outliers are ejected. */
  SHARED
}
