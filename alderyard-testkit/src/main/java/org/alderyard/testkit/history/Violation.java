package org.alderyard.testkit.history;

/**
 * A broken promise.
 *
 * @param promise which one
 * @param key the key that shows it
 * @param detail the value and the operation
 */
public record Violation(Promise promise, String key, String detail) {

  /** The promises that a history can break. */
  public enum Promise {
    /** An acknowledged write is there at the end. */
    NO_WRITE_LOST,
    /** No write is there twice. */
    NO_WRITE_DOUBLED,
    /** A write that was refused as not run is not there. */
    NOT_RUN_DID_NOT_RUN,
    /** A session sees its own acknowledged writes. */
    READ_YOUR_WRITES,
    /** A session never loses sight of an acknowledged write that it saw. */
    MONOTONIC_READS,
    /** A read shows all that was acknowledged longer ago than it accepts. */
    BOUNDED_STALENESS,
    /** An answer holds values of its own key only. */
    OWN_ANSWER
  }
}
