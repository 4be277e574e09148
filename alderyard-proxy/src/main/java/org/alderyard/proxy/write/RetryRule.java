package org.alderyard.proxy.write;

import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.proxy.limit.RetryBudget;

/**
 * Decides whether a failed write is attempted again.
 *
 * <p>A write that may have reached a server is sent again only under a ledger key that every server
 * of the group records with the write, so that a second run is impossible.
 */
final class RetryRule {

  private RetryRule() {}

  /**
   * Decides.
   *
   * @param failure why the attempt failed
   * @param ledgerProves whether the servers record this write under its ledger key
   * @param timeLeft whether the caller still waits
   * @param budget permits for resends; asked only for an attempt that would otherwise follow
   */
  static RetryDecision decide(
      AlderyardException failure, boolean ledgerProves, boolean timeLeft, RetryBudget budget) {
    boolean mayHaveRun = failure.outcome() == Outcome.OUTCOME_UNKNOWN;
    if (failure.outcome() == Outcome.FAILED || (!mayHaveRun && !transientRefusal(failure))) {
      return giveUp(RetryReason.FINAL);
    }
    if (mayHaveRun && !ledgerProves) {
      return giveUp(RetryReason.MAY_HAVE_RUN);
    }
    if (!timeLeft) {
      return giveUp(RetryReason.NO_TIME);
    }
    RetryReason reason = mayHaveRun ? RetryReason.LEDGER_PROVES : RetryReason.DID_NOT_RUN;
    if (failure.code() == ErrorCode.PRIMARY_REPLACED) {
      // No permit needed: each write waits once for each term, in a bounded queue.
      return new RetryDecision(RetryAction.RETRY_IN_LATER_TERM, reason);
    }
    return budget.tryResend()
        ? new RetryDecision(RetryAction.RETRY, reason)
        : giveUp(RetryReason.NO_BUDGET);
  }

  /** A full server may have room later, and a server without a connection may come back. */
  private static boolean transientRefusal(AlderyardException failure) {
    return failure.code() == ErrorCode.PRIMARY_REPLACED
        || failure.code() == ErrorCode.CONNECTION_LOST
        // No lease of connections yet: a new primary's come a moment after the view.
        || failure.code() == ErrorCode.NO_ELIGIBLE_SERVER
        || (failure instanceof BackendException refused && refused.refusal() == Refusal.BUSY);
  }

  private static RetryDecision giveUp(RetryReason reason) {
    return new RetryDecision(RetryAction.GIVE_UP, reason);
  }
}
