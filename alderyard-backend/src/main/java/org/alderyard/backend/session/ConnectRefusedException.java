package org.alderyard.backend.session;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** A backend server answered to a connection attempt, and refused it. */
public class ConnectRefusedException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final RefusalCode refusal;

  /** Creates an error from a server's refusal. */
  public ConnectRefusedException(RefusalCode refusal, String message) {
    super(ErrorCode.NO_ELIGIBLE_SERVER, Outcome.NOT_RUN, message);
    this.refusal = refusal;
  }

  /** Returns why the server refused. */
  public RefusalCode refusal() {
    return refusal;
  }
}
