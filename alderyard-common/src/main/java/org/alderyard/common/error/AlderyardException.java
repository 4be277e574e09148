package org.alderyard.common.error;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/** The root of all errors of the system: a code, an outcome and a message for the user. */
public class AlderyardException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private static final long NO_HINT = -1;

  private final ErrorCode code;
  private final Outcome outcome;
  private final long retryAfterMillis;

  /** Creates an error without a hint of when to come back. */
  public AlderyardException(ErrorCode code, Outcome outcome, String message) {
    this(code, outcome, message, null, NO_HINT);
  }

  /** Creates an error that was caused by another one. */
  public AlderyardException(ErrorCode code, Outcome outcome, String message, Throwable cause) {
    this(code, outcome, message, cause, NO_HINT);
  }

  private AlderyardException(
      ErrorCode code, Outcome outcome, String message, Throwable cause, long retryAfterMillis) {
    super(message, cause);
    this.code = Objects.requireNonNull(code);
    this.outcome = Objects.requireNonNull(outcome);
    this.retryAfterMillis = retryAfterMillis;
  }

  /** Returns an error that says that the request did not run. */
  public static AlderyardException notRun(ErrorCode code, String message) {
    return new AlderyardException(code, Outcome.NOT_RUN, message);
  }

  /** Returns an error that says that the request did not run, and when to come back. */
  public static AlderyardException notRun(ErrorCode code, String message, long retryAfterMillis) {
    return new AlderyardException(code, Outcome.NOT_RUN, message, null, retryAfterMillis);
  }

  /** Returns an error that says that the request may have run. */
  public static AlderyardException unknown(ErrorCode code, String message, Throwable cause) {
    return new AlderyardException(code, Outcome.OUTCOME_UNKNOWN, message, cause);
  }

  /** Returns this error with what its receiver adds; the hint of when to come back stays. */
  public AlderyardException restated(ErrorCode newCode, Outcome newOutcome, String message) {
    return new AlderyardException(newCode, newOutcome, message, this, retryAfterMillis);
  }

  /** Returns the code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns what is known of the effect of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns each fault of the input, when the error stands for several. */
  public List<FieldFault> faults() {
    return List.of();
  }

  /** Returns after how many milliseconds a retry makes sense, if that is known. */
  public OptionalLong retryAfterMillis() {
    return retryAfterMillis == NO_HINT ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
  }
}
