package org.alderyard.proxy.api;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.generated.forward.Action;

/**
 * Maps the failure to forward a request to the holder of its transaction to the error that the
 * caller receives.
 */
final class ForwardFailures {

  private ForwardFailures() {}

  /**
   * Returns the error for the caller.
   *
   * <p>A commit that fails in transit may be a resend of a commit that the holder received, so its
   * outcome is unknown whatever the transport failure.
   */
  static AlderyardException toCallerError(Action action, AlderyardException failure) {
    return action == Action.COMMIT && isTransportFailure(failure.code())
        ? failure.wrapAs(failure.code(), Outcome.OUTCOME_UNKNOWN, failure.getMessage())
        : failure;
  }

  private static boolean isTransportFailure(ErrorCode code) {
    return switch (code) {
      case CONNECTION_LOST, PEER_REJECTED, METHOD_NOT_SERVED, MESSAGE_DAMAGED, OVERLOADED -> true;
      default -> false;
    };
  }
}
