package org.alderyard.daemon;

/** The HTTP ports that can speak TLS. */
public enum TlsPort {
  /** The port of the callers. */
  CALLER,
  /** The port of the operators. */
  OPERATOR
}
