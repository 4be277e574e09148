package org.alderyard.proxy.write;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.proxy.limit.RetryBudget;
import org.junit.jupiter.api.Test;

/** Tests which failures of a write are retried. */
class RetryPolicyTest {
  private static final AlderyardException CONNECTION_BROKEN =
      AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "broken", null);
  private static final AlderyardException CONNECTION_REFUSED =
      AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "refused");

  /**
   * Guards against a duplicate write: the connection breaks after the write was sent, and a resend
   * could run it twice.
   */
  @Test
  void writeThatMayHaveRunIsNotResent() {
    assertThat(RetryPolicy.decide(CONNECTION_BROKEN, false, true, fullBudget()))
        .isEqualTo(new RetryDecision(RetryAction.GIVE_UP, RetryReason.MAY_HAVE_RUN));
  }

  @Test
  void ledgerMakesResendSafe() {
    assertThat(RetryPolicy.decide(CONNECTION_BROKEN, true, true, fullBudget()))
        .isEqualTo(new RetryDecision(RetryAction.RETRY, RetryReason.LEDGER_PROVES));
  }

  @Test
  void refusalOfReplacedPrimaryIsRetriedInLaterTerm() {
    AlderyardException notPrimary = new BackendException(Refusal.NOT_PRIMARY, "fenced");

    assertThat(RetryPolicy.decide(notPrimary, false, true, emptyBudget()))
        .isEqualTo(new RetryDecision(RetryAction.RETRY_IN_LATER_TERM, RetryReason.DID_NOT_RUN));
  }

  @Test
  void refusedConnectionIsRetriedWithinBudgetAndDeadline() {
    assertThat(RetryPolicy.decide(CONNECTION_REFUSED, false, true, fullBudget()).action())
        .isEqualTo(RetryAction.RETRY);
    assertThat(RetryPolicy.decide(CONNECTION_REFUSED, false, true, emptyBudget()).reason())
        .isEqualTo(RetryReason.NO_BUDGET);
    assertThat(RetryPolicy.decide(CONNECTION_REFUSED, false, false, fullBudget()).reason())
        .isEqualTo(RetryReason.NO_TIME);
  }

  @Test
  void failedAndOverloadedStatementsAreNotRetried() {
    AlderyardException failed = new BackendException(Refusal.STATEMENT_FAILED, "wrong");
    AlderyardException rejected =
        new AlderyardException(ErrorCode.OVERLOADED, Outcome.NOT_RUN, "no slot in time");

    assertThat(RetryPolicy.decide(failed, true, true, fullBudget()).reason())
        .isEqualTo(RetryReason.FINAL);
    assertThat(RetryPolicy.decide(rejected, true, true, fullBudget()).reason())
        .isEqualTo(RetryReason.FINAL);
  }

  private static RetryBudget fullBudget() {
    return new RetryBudget(1, 1);
  }

  private static RetryBudget emptyBudget() {
    return new RetryBudget(0, 0);
  }
}
