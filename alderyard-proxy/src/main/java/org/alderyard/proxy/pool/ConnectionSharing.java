package org.alderyard.proxy.pool;

/** How organisations share the connections that hosts may open to a server. */
public enum ConnectionSharing {
  /**
   * The least recently used connection is replaced; all hosts hold connections if servers accept
   * them.
   */
  RECENCY,
  /**
   * The connection whose owner is expected back last is replaced; the statements of organisations
   * meet at holders if a host has fewer connections to a server than there are organisations.
   */
  WEIGHTED
}
