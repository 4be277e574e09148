package org.alderyard.proxy.api;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.generated.forward.Action;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a commit that is said not to have run, since its second sending got nowhere. */
class ForwardFailuresTest {
  private static Outcome told(Action action, ErrorCode code) {
    return ForwardFailures.told(action, AlderyardException.notRun(code, "m")).outcome();
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
  void commitThatDidNotGetThroughIsInDoubt(ErrorCode code) {
    assertThat(told(Action.COMMIT, code)).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(told(Action.STATEMENT, code)).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void holdersWordOnCommitStays() {
    assertThat(told(Action.COMMIT, ErrorCode.TRANSACTION_LOST)).isEqualTo(Outcome.NOT_RUN);
  }
}
