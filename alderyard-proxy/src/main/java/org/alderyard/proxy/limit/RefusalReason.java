package org.alderyard.proxy.limit;

/** The reason why a limiter refuses a statement. A refused statement has not run. */
public enum RefusalReason {
  /** The queue is full. */
  QUEUE_FULL,
  /**
   * The queue was full and the statement was removed in favour of a caller with fewer queued
   * statements.
   */
  DISPLACED,
  /** The expected wait and execution end after the deadline. */
  WOULD_MISS_DEADLINE,
  /** The statement was queued until too little time was left to run it before its deadline. */
  DEADLINE_NEAR,
  /** The pool already runs as many statements as its change ticket allows. */
  POOL_LIMIT
}
