package org.alderyard.daemon;

/** HTTP port that can use TLS. */
public enum TlsPort {
  /** Port that callers connect to. */
  CALLER,
  /** Port that operators connect to. */
  OPERATOR
}
