package org.alderyard.common.view;

/** The status of a backend server, which decides whether it receives new work. */
public enum ServerStatus {
  /** The server receives new work. */
  ACTIVE,
  /** The server announced that it leaves: it receives no new work, and running work may finish. */
  LEAVING,
  /** The lease of the server expired: it receives no new work. */
  EXPIRED,
  /** The server announced that it leaves and has left; only another incarnation can return. */
  GONE
}
