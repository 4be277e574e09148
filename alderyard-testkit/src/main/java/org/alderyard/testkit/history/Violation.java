package org.alderyard.testkit.history;

/**
 * A violation of a consistency guarantee.
 *
 * @param guarantee the violated guarantee
 * @param key the key on which the violation was observed
 * @param detail description of the operation and the value
 */
public record Violation(Guarantee guarantee, String key, String detail) {

  /** The consistency guarantees that are checked. */
  public enum Guarantee {
    /** Every acknowledged write is present in the final list. */
    NO_WRITE_LOST,
    /** No write is present more than once in the final list. */
    NO_WRITE_DOUBLED,
    /** A write that was refused as not run, or that failed, is absent from the final list. */
    NOT_RUN_DID_NOT_RUN,
    /** A session reads its own acknowledged writes. */
    READ_YOUR_WRITES,
    /** An acknowledged write that a session has read is present in its later reads. */
    MONOTONIC_READS,
    /** A read returns all writes acknowledged before its maximum staleness. */
    BOUNDED_STALENESS,
    /** A response contains only values of the requested key. */
    OWN_ANSWER
  }
}
