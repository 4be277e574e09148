package org.alderyard.proxy.api;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.generated.forward.Action;

/** What a caller is told when a request did not get through to the holder of its transaction. */
final class ForwardFailures {

  private ForwardFailures() {}

  /**
   * Returns the error for the caller.
   *
   * <p>A commit that did not get through may be one that is sent again after the first one did, so
   * it is in doubt whatever broke the way.
   */
  static AlderyardException told(Action action, AlderyardException failure) {
    return action == Action.COMMIT && onTheWay(failure.code())
        ? failure.restated(failure.code(), Outcome.OUTCOME_UNKNOWN, failure.getMessage())
        : failure;
  }

  private static boolean onTheWay(ErrorCode code) {
    return switch (code) {
      case CONNECTION_LOST, PEER_REJECTED, METHOD_NOT_SERVED, MESSAGE_DAMAGED, OVERLOADED -> true;
      default -> false;
    };
  }
}
