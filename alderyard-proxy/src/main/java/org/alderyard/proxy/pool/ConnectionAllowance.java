package org.alderyard.proxy.pool;

import org.alderyard.common.id.ServerId;

/** How many connections to a server this proxy may have now. */
@FunctionalInterface
public interface ConnectionAllowance {
  /** No limit, for a process without other proxies. */
  ConnectionAllowance UNLIMITED = server -> Integer.MAX_VALUE;

  /** Returns the number, 0 or more; must not block and must not call back. */
  int allowed(ServerId server);

  /**
   * Returns how many more may be open while those that are in use are held for long.
   *
   * @return 0 where the number that is allowed must never be exceeded
   */
  default int spare(ServerId server) {
    return 0;
  }
}
