package org.alderyard.proxy.lease;

import java.util.Set;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;

/** Determines how many connections to a server a proxy requests. */
public interface ConnectionTarget {

  /**
   * Returns the number of connections that the proxy requests.
   *
   * @param use the use of the connections since the last call
   */
  int targetConnections(ServerId server, PoolUse use);

  /** Removes the state of all servers that are not in the given set. */
  default void retain(Set<ServerId> servers) {}
}
