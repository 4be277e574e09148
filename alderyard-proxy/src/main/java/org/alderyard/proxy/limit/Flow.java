package org.alderyard.proxy.limit;

import java.util.Objects;
import org.alderyard.common.id.PoolName;

/**
 * The pool and caller of a statement, the unit of fair queueing.
 *
 * @param pool the pool that the statement addresses
 * @param caller the id or the address of the caller
 */
public record Flow(PoolName pool, String caller) {

  /** Validates the components. */
  public Flow {
    Objects.requireNonNull(pool);
    Objects.requireNonNull(caller);
  }
}
