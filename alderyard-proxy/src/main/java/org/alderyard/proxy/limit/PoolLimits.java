package org.alderyard.proxy.limit;

import java.util.HashMap;
import java.util.Map;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;

/** Counts the statements of each pool against the limit of its ticket. The lock is a leaf. */
public final class PoolLimits {
  // Guarded by this; a pool without a statement has no entry.
  private final Map<PoolName, Integer> running = new HashMap<>();

  /** Counts a statement; returns whether the pool has room for it. */
  public synchronized boolean tryEnter(PoolState pool) {
    int before = running.getOrDefault(pool.name(), 0);
    int limit = pool.maxConcurrentStatements();
    if (limit > 0 && before >= limit) {
      return false;
    }
    running.put(pool.name(), before + 1);
    return true;
  }

  /** Counts the end of a statement that was let in. */
  public synchronized void leave(PoolName pool) {
    running.computeIfPresent(pool, (name, count) -> count == 1 ? null : count - 1);
  }
}
