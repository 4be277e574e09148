package org.alderyard.control.log;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/**
 * A command that no host can carry out. It changes nothing, and the log continues after it.
 *
 * <p>Every host refuses the same commands, so that their states stay equal.
 */
public final class EntryRefusedException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates a refusal.
   *
   * @param code the code for the proposer, which tells it not to repeat the command
   * @param message what is wrong with the command
   */
  public EntryRefusedException(ErrorCode code, String message) {
    super(code, Outcome.NOT_RUN, message);
  }
}
