package org.alderyard.proxy.ledger;

import org.alderyard.backend.LedgerKey;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** The errors of requests that the ledger does not admit. */
final class AdmissionErrors {
  private static final long FULL_RETRY_AFTER_MILLIS = 1_000;

  private AdmissionErrors() {}

  /**
   * Returns the error.
   *
   * <p>A request that could have been admitted under an earlier sending is never told {@code
   * NOT_RUN}: the caller would send it again under a new id.
   */
  static AlderyardException of(Admission.Kind kind, LedgerKey key) {
    String id = "request id '" + key.request() + "' ";
    return switch (kind) {
      // NOT_RUN holds: the id is bound to the other content, so this content ran under it never.
      case REUSED ->
          AlderyardException.notRun(ErrorCode.REQUEST_ID_REUSED, id + "names another write");
      // NOT_RUN holds: its time lies after any owner before this one had stopped, and this one
      // refused it each time that it came ahead of its clock.
      case IN_FUTURE ->
          AlderyardException.notRun(
              ErrorCode.BAD_REQUEST, id + "names a time ahead of this host's clock");
      // NOT_RUN holds: this owner has owned the id since before its first sending, and its table
      // has kept all that it admitted, so this request was never admitted.
      case FULL ->
          AlderyardException.notRun(
              ErrorCode.OVERLOADED, "the request ledger is full", FULL_RETRY_AFTER_MILLIS);
      case TOO_OLD ->
          AlderyardException.unknown(
              ErrorCode.REQUEST_TOO_OLD, id + "is older than the ledger remembers", null);
      case OWNER_CHANGED ->
          AlderyardException.unknown(
              ErrorCode.OWNER_CHANGED, id + "may have run before its owner changed", null);
      case RUN, REPEATED -> throw new IllegalArgumentException(kind + " is no refusal");
    };
  }
}
