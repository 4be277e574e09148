package org.alderyard.proxy.limit;

import java.util.Objects;

/**
 * A statement that requests execution on a server.
 *
 * @param flow the pool and caller of the statement, used for fair queueing
 * @param write whether only the primary can run the statement
 * @param deadlineNanos the monotonic time, in nanoseconds, at which the caller times out
 * @param work the item that is handed back when the statement is started or refused
 * @param <T> the type of the work item
 */
public record QueuedStatement<T>(Flow flow, boolean write, long deadlineNanos, T work) {

  /** Validates the components. */
  public QueuedStatement {
    Objects.requireNonNull(flow);
    Objects.requireNonNull(work);
  }
}
