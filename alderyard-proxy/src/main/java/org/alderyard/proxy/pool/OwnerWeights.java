package org.alderyard.proxy.pool;

import org.alderyard.backend.ConnectionOwner;

/** The shares of owners in the turns at a server's connections. */
@FunctionalInterface
public interface OwnerWeights {
  /** All owners have the same share. */
  OwnerWeights EQUAL = owner -> 1;

  /**
   * Returns the weight of an owner, more than 0: with twice the weight of another one, it has two
   * turns for each of the other. Must not block and must not call back into the pools.
   */
  double weight(ConnectionOwner owner);
}
