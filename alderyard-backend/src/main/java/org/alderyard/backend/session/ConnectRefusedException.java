package org.alderyard.backend.session;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** Thrown when a backend server responds to a connection attempt with a refusal. */
public class ConnectRefusedException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final RefusalCode refusal;

  /** Creates an exception with outcome {@code NOT_RUN} from the server's refusal. */
  public ConnectRefusedException(RefusalCode refusal, String message) {
    super(ErrorCode.NO_ELIGIBLE_SERVER, Outcome.NOT_RUN, message);
    this.refusal = refusal;
  }

  /** Returns the server's reason for the refusal. */
  public RefusalCode refusal() {
    return refusal;
  }
}
