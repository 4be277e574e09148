package org.alderyard.proxy.pool;

import org.alderyard.common.id.ServerId;

/** The number of connections that this proxy may currently have to a server. */
@FunctionalInterface
public interface ConnectionAllowance {
  /** No limit, for a process that shares its servers with no other proxy. */
  ConnectionAllowance UNLIMITED = server -> Integer.MAX_VALUE;

  /**
   * Returns the number of connections, 0 or more. Must not block and must not call back into the
   * pools.
   */
  int allowed(ServerId server);

  /**
   * Returns how many additional connections may be open while connections in use are blocked.
   *
   * @return 0 if {@link #allowed} must never be exceeded
   */
  default int spare(ServerId server) {
    return 0;
  }
}
