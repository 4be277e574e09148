package org.alderyard.common.error;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * The base class of all errors of the system, with a code, an outcome and a message for the user.
 */
public class AlderyardException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private static final long NO_RETRY_DELAY = -1;

  private final ErrorCode code;
  private final Outcome outcome;
  private final long retryAfterMillis;

  /** Creates an error without a retry delay. */
  public AlderyardException(ErrorCode code, Outcome outcome, String message) {
    this(code, outcome, message, null, NO_RETRY_DELAY);
  }

  /** Creates an error with a cause and without a retry delay. */
  public AlderyardException(ErrorCode code, Outcome outcome, String message, Throwable cause) {
    this(code, outcome, message, cause, NO_RETRY_DELAY);
  }

  /** Creates an error with a cause, which may be null, and a retry delay in milliseconds. */
  protected AlderyardException(
      ErrorCode code, Outcome outcome, String message, Throwable cause, long retryAfterMillis) {
    super(message, cause);
    this.code = Objects.requireNonNull(code);
    this.outcome = Objects.requireNonNull(outcome);
    this.retryAfterMillis = retryAfterMillis;
  }

  /** Returns an error of a request that did not run, without a retry delay. */
  public static AlderyardException notRun(ErrorCode code, String message) {
    return new AlderyardException(code, Outcome.NOT_RUN, message);
  }

  /** Returns an error of a request that did not run, with a retry delay in milliseconds. */
  public static AlderyardException notRun(ErrorCode code, String message, long retryAfterMillis) {
    return new AlderyardException(code, Outcome.NOT_RUN, message, null, retryAfterMillis);
  }

  /** Returns an error of a request that may have run. */
  public static AlderyardException unknown(ErrorCode code, String message, Throwable cause) {
    return new AlderyardException(code, Outcome.OUTCOME_UNKNOWN, message, cause);
  }

  /**
   * Returns an error with the given code, outcome and message that is caused by this error and
   * keeps its retry delay.
   */
  public AlderyardException wrapAs(ErrorCode newCode, Outcome newOutcome, String message) {
    return new AlderyardException(newCode, newOutcome, message, this, retryAfterMillis);
  }

  /** Returns the error code, which callers match on. */
  public ErrorCode code() {
    return code;
  }

  /** Returns what is known about the effect of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the faults of the input if the error covers several; otherwise an empty list. */
  public List<FieldFault> faults() {
    return List.of();
  }

  /** Returns the delay in milliseconds after which a retry is useful, if it is known. */
  public OptionalLong retryAfterMillis() {
    return retryAfterMillis == NO_RETRY_DELAY
        ? OptionalLong.empty()
        : OptionalLong.of(retryAfterMillis);
  }
}
