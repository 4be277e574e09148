package org.alderyard.common.concurrent;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** Helpers for unwrapping and converting the failures of futures. */
public final class Futures {

  private Futures() {}

  /** Returns the cause of a failure, without the wrappers that futures add. */
  public static Throwable unwrap(Throwable failure) {
    Throwable current = failure;
    while ((current instanceof CompletionException || current instanceof ExecutionException)
        && current.getCause() != null) {
      current = current.getCause();
    }
    return current;
  }

  /**
   * Returns the failure as an {@link AlderyardException}; any other failure becomes {@code
   * INTERNAL} with an unknown outcome.
   */
  public static AlderyardException toAlderyardException(Throwable failure) {
    Throwable cause = unwrap(failure);
    if (cause instanceof AlderyardException error) {
      return error;
    }
    return new AlderyardException(
        ErrorCode.INTERNAL, Outcome.OUTCOME_UNKNOWN, "unexpected failure: " + cause, cause);
  }
}
