package org.alderyard.proxy.lease;

import java.util.Set;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;

/** Says how many connections to a server a proxy asks for. */
public interface ConnectionWish {

  /**
   * Returns how many connections the proxy could use.
   *
   * @param use how its connections were used since the last call
   */
  int wanted(ServerId server, PoolUse use);

  /** Forgets all but these servers. */
  default void retain(Set<ServerId> servers) {}
}
