package org.alderyard.proxy.admission;

/** What becomes of a statement. */
public sealed interface AdmissionDecision {
  /** A slot is free: the statement runs now. */
  AdmissionDecision RUN = new Run();

  /** The statement runs now. */
  record Run() implements AdmissionDecision {}

  /**
   * The statement waits for a slot, a position or a primary.
   *
   * @param expectedNanos the expected time until its start
   */
  record Wait(long expectedNanos) implements AdmissionDecision {}

  /**
   * The statement can't be served before its deadline and is refused; it has not run.
   *
   * @param reason why it can't be served
   * @param retryAfterNanos the time after which statements are expected to be served again
   * @param spreadNanos the span over which the returns of refused callers are spread
   * @param intervalNanos the mean time between two statements that are served then
   */
  record Reject(Reason reason, long retryAfterNanos, long spreadNanos, long intervalNanos)
      implements AdmissionDecision {}

  /** Why a statement can't be served. */
  enum Reason {
    /** Its deadline has passed, or is too near to send it. */
    EXPIRED,
    /** The statements before it use all slots until its deadline is too near. */
    OVERLOAD,
    /** No primary is expected before its deadline. */
    NO_PRIMARY,
    /** No server accepted it within the time of its search. */
    NO_SERVER,
    /** No server is expected to hold its position before its deadline. */
    LAG
  }
}
