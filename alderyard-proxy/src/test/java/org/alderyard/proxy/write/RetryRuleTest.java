package org.alderyard.proxy.write;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.proxy.limit.RetryBudget;
import org.junit.jupiter.api.Test;

/** Which failures of a write are worth, and safe for, another attempt. */
class RetryRuleTest {
  private static final AlderyardException BROKEN =
      AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "broken", null);
  private static final AlderyardException REFUSED_CONNECTION =
      AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "refused");

  /**
   * The connection breaks after an order was sent. Sent again, the order could run twice: two kits,
   * two payments.
   */
  @Test
  void writeThatMayHaveRunIsNotSentAgain() {
    assertThat(RetryRule.decide(BROKEN, false, true, full()))
        .isEqualTo(new RetryDecision(RetryAction.GIVE_UP, RetryReason.MAY_HAVE_RUN));
  }

  @Test
  void ledgerMakesResendSafe() {
    assertThat(RetryRule.decide(BROKEN, true, true, full()))
        .isEqualTo(new RetryDecision(RetryAction.RETRY, RetryReason.LEDGER_PROVES));
  }

  @Test
  void refusalOfReplacedPrimaryWaitsForLaterTerm() {
    AlderyardException refused = new BackendException(Refusal.NOT_PRIMARY, "fenced");

    assertThat(RetryRule.decide(refused, false, true, empty()))
        .isEqualTo(new RetryDecision(RetryAction.RETRY_IN_LATER_TERM, RetryReason.DID_NOT_RUN));
  }

  @Test
  void deadServerIsTriedAgainWithinBudgetAndTime() {
    assertThat(RetryRule.decide(REFUSED_CONNECTION, false, true, full()).action())
        .isEqualTo(RetryAction.RETRY);
    assertThat(RetryRule.decide(REFUSED_CONNECTION, false, true, empty()).reason())
        .isEqualTo(RetryReason.NO_BUDGET);
    assertThat(RetryRule.decide(REFUSED_CONNECTION, false, false, full()).reason())
        .isEqualTo(RetryReason.NO_TIME);
  }

  @Test
  void failedStatementAndShedStatementAreFinal() {
    AlderyardException failed = new BackendException(Refusal.STATEMENT_FAILED, "wrong");
    AlderyardException shed =
        new AlderyardException(ErrorCode.OVERLOADED, Outcome.NOT_RUN, "no slot in time");

    assertThat(RetryRule.decide(failed, true, true, full()).reason()).isEqualTo(RetryReason.FINAL);
    assertThat(RetryRule.decide(shed, true, true, full()).reason()).isEqualTo(RetryReason.FINAL);
  }

  private static RetryBudget full() {
    return new RetryBudget(1, 1);
  }

  private static RetryBudget empty() {
    return new RetryBudget(0, 0);
  }
}
