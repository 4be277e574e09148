package org.alderyard.proxy.limit;

import java.util.HashMap;
import java.util.Map;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;

/**
 * Counts the statements of each pool in flight and enforces the limit set by the change ticket of
 * the pool. Thread-safe; no other lock is acquired while the lock of this object is held.
 */
public final class PoolLimits {
  // Guarded by this. A pool without statements in flight has no entry.
  private final Map<PoolName, Integer> inFlight = new HashMap<>();

  /**
   * Counts a statement and returns true if the pool is below its limit. A limit of 0 means no
   * limit.
   */
  public synchronized boolean tryAcquire(PoolState pool) {
    int current = inFlight.getOrDefault(pool.name(), 0);
    int limit = pool.maxConcurrentStatements();
    if (limit > 0 && current >= limit) {
      return false;
    }
    inFlight.put(pool.name(), current + 1);
    return true;
  }

  /** Records the end of a statement for which {@link #tryAcquire} returned true. */
  public synchronized void release(PoolName pool) {
    inFlight.computeIfPresent(pool, (name, count) -> count == 1 ? null : count - 1);
  }
}
