package org.alderyard.proxy.write;

import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.proxy.limit.RetryBudget;

/**
 * Decides whether a failed write is retried.
 *
 * <p>A write that may have reached a server is resent only under a ledger key that every server of
 * the group records with the write, so that it cannot run twice.
 */
final class RetryPolicy {

  private RetryPolicy() {}

  /**
   * Decides what follows a failed attempt.
   *
   * @param failure the failure of the attempt
   * @param ledgerDeduplicates whether the servers record this write under its ledger key
   * @param beforeDeadline whether the caller still waits
   * @param budget the retry budget; used only when the attempt would otherwise be retried
   */
  static RetryDecision decide(
      AlderyardException failure,
      boolean ledgerDeduplicates,
      boolean beforeDeadline,
      RetryBudget budget) {
    boolean mayHaveRun = failure.outcome() == Outcome.OUTCOME_UNKNOWN;
    if (failure.outcome() == Outcome.FAILED || (!mayHaveRun && !isTransient(failure))) {
      return giveUp(RetryReason.FINAL);
    }
    if (mayHaveRun && !ledgerDeduplicates) {
      return giveUp(RetryReason.MAY_HAVE_RUN);
    }
    if (!beforeDeadline) {
      return giveUp(RetryReason.NO_TIME);
    }
    RetryReason reason = mayHaveRun ? RetryReason.LEDGER_PROVES : RetryReason.DID_NOT_RUN;
    if (failure.code() == ErrorCode.PRIMARY_REPLACED) {
      // Not charged to the retry budget: each write waits once per term, in a bounded queue.
      return new RetryDecision(RetryAction.RETRY_IN_LATER_TERM, reason);
    }
    return budget.tryResend()
        ? new RetryDecision(RetryAction.RETRY, reason)
        : giveUp(RetryReason.NO_BUDGET);
  }

  /**
   * Returns whether a write that did not run may succeed later: a full server may get free slots,
   * and a server without a connection may become reachable.
   */
  private static boolean isTransient(AlderyardException failure) {
    return failure.code() == ErrorCode.PRIMARY_REPLACED
        || failure.code() == ErrorCode.CONNECTION_LOST
        // The server has no connection lease yet: that of a new primary arrives shortly after the
        // view.
        || failure.code() == ErrorCode.NO_ELIGIBLE_SERVER
        || (failure instanceof BackendException rejection && rejection.refusal() == Refusal.BUSY);
  }

  private static RetryDecision giveUp(RetryReason reason) {
    return new RetryDecision(RetryAction.GIVE_UP, reason);
  }
}
