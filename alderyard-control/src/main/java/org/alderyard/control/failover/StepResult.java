package org.alderyard.control.failover;

/**
 * What a step did to a record.
 *
 * @param record the record after it
 * @param accepted whether the step changed it
 * @param reason why
 */
public record StepResult(FailoverRecord record, boolean accepted, Reason reason) {

  /** Why a step was accepted or not. */
  public enum Reason {
    /** It changed the record. */
    ACCEPTED,
    /** The record has moved on to a later term. */
    STALE_TERM,
    /** The same step, or one that excludes it, came first. */
    ALREADY_DONE,
    /** A step that must come before it is missing. */
    OUT_OF_ORDER,
    /** The chosen server is no member of the group. */
    NOT_A_MEMBER
  }
}
