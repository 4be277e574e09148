package org.alderyard.proxy.limit;

import java.util.Objects;
import org.alderyard.common.id.PoolName;

/**
 * Whose work a statement is, for fairness.
 *
 * @param pool the pool
 * @param caller the caller, by its id or its address
 */
public record Flow(PoolName pool, String caller) {

  /** Checks. */
  public Flow {
    Objects.requireNonNull(pool);
    Objects.requireNonNull(caller);
  }
}
