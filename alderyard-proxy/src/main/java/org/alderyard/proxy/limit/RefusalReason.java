package org.alderyard.proxy.limit;

/** Why a gate refuses a statement; it did not run in any of these cases. */
public enum RefusalReason {
  /** The queue is full. */
  QUEUE_FULL,
  /** The queue was full of this caller's work, and another caller came. */
  DISPLACED,
  /** The wait would outlast the deadline. */
  WOULD_MISS_DEADLINE,
  /** The wait did outlast the deadline. */
  DEADLINE_NEAR,
  /** The pool runs as many statements as its ticket allows. */
  POOL_LIMIT
}
