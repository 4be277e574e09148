package org.alderyard.proxy.api;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.generated.forward.Action;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against reporting a commit as not run when the first attempt reached the holder and only
 * the resend failed in transit.
 */
class ForwardFailuresTest {
  private static Outcome callerOutcome(Action action, ErrorCode code) {
    return ForwardFailures.toCallerError(action, AlderyardException.notRun(code, "m")).outcome();
  }

  @ParameterizedTest
  @EnumSource(
      names = {
        "CONNECTION_LOST",
        "PEER_REJECTED",
        "METHOD_NOT_SERVED",
        "MESSAGE_DAMAGED",
        "OVERLOADED"
      })
  void commitWithTransportFailureHasUnknownOutcome(ErrorCode code) {
    assertThat(callerOutcome(Action.COMMIT, code)).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(callerOutcome(Action.STATEMENT, code)).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void outcomeReportedByHolderIsKept() {
    assertThat(callerOutcome(Action.COMMIT, ErrorCode.TRANSACTION_LOST)).isEqualTo(Outcome.NOT_RUN);
  }
}
