package org.alderyard.control.failover;

/**
 * The result of applying a {@link FailoverStep} to a {@link FailoverRecord}.
 *
 * @param record the record after the step
 * @param accepted whether the step changed the record
 * @param reason why the step was accepted or refused
 */
public record StepResult(FailoverRecord record, boolean accepted, Reason reason) {

  /** The reason why a step was accepted or refused. */
  public enum Reason {
    /** The step changed the record. */
    ACCEPTED,
    /** The record is of a later term than the step. */
    STALE_TERM,
    /** The same step, or another step that excludes it, was applied before. */
    ALREADY_DONE,
    /** A preceding step has not been applied yet. */
    OUT_OF_ORDER,
    /** The chosen server is not a member of the group. */
    NOT_A_MEMBER
  }
}
