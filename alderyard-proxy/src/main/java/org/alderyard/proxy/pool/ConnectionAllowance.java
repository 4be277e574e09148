package org.alderyard.proxy.pool;

import org.alderyard.common.id.ServerId;

/** How many connections to a server this proxy may have now. */
@FunctionalInterface
public interface ConnectionAllowance {
  /** No limit, for a process without other proxies. */
  ConnectionAllowance UNLIMITED = server -> Integer.MAX_VALUE;

  /** Returns the number, 0 or more; must not block and must not call back. */
  int allowed(ServerId server);
}
