package org.alderyard.proxy.ledger;

import org.alderyard.backend.LedgerKey;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** Creates the errors for requests that the ledger does not admit. */
final class AdmissionErrors {
  private static final long FULL_RETRY_AFTER_MILLIS = 1_000;

  private AdmissionErrors() {}

  /**
   * Returns the error for a request that was not admitted.
   *
   * <p>A request that may have been admitted when it was sent before never fails as {@code
   * NOT_RUN}, since the caller would then resend it under a new ID.
   */
  static AlderyardException of(Admission.Kind kind, LedgerKey key) {
    String id = "request id '" + key.request() + "' ";
    return switch (kind) {
      // NOT_RUN is accurate: the ID is bound to the other content, so this content never ran under
      // it.
      case REUSED ->
          AlderyardException.notRun(
              ErrorCode.REQUEST_ID_REUSED, id + "was already used for another write");
      // NOT_RUN is accurate: every previous owner had stopped before the timestamp of the request,
      // and this owner rejects the request while the timestamp is ahead of its clock.
      case IN_FUTURE ->
          AlderyardException.notRun(
              ErrorCode.BAD_REQUEST, id + "has a timestamp ahead of this host's clock");
      // NOT_RUN is accurate: this owner has owned the ID since before the request was first sent,
      // and its table keeps every admitted request, so this request was never admitted.
      case FULL ->
          AlderyardException.notRun(
              ErrorCode.OVERLOADED, "the request ledger is full", FULL_RETRY_AFTER_MILLIS);
      case TOO_OLD ->
          AlderyardException.unknown(
              ErrorCode.REQUEST_TOO_OLD, id + "is older than the retention of the ledger", null);
      case OWNER_CHANGED ->
          AlderyardException.unknown(
              ErrorCode.OWNER_CHANGED, id + "may have run before its owner changed", null);
      case RUN, REPEATED -> throw new IllegalArgumentException(kind + " is not a rejection");
    };
  }
}
