package org.alderyard.backend;

import java.util.Objects;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** A backend server refused a request, and said why. */
public class BackendException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final Refusal refusal;

  /** Creates an error from a server's refusal. */
  public BackendException(Refusal refusal, String message) {
    super(refusal.code, refusal.outcome, message);
    this.refusal = Objects.requireNonNull(refusal);
  }

  /** Returns why the server refused. */
  public Refusal refusal() {
    return refusal;
  }

  /** The refusals of the backend protocol; a server that refuses has run nothing. */
  public enum Refusal {
    /** The term of the request is not the server's. */
    TERM_MISMATCH(ErrorCode.PRIMARY_REPLACED, Outcome.NOT_RUN),
    /** A write came to a server that is not the primary. */
    NOT_PRIMARY(ErrorCode.PRIMARY_REPLACED, Outcome.NOT_RUN),
    /** All slots and the server's queue are taken. */
    BUSY(ErrorCode.OVERLOADED, Outcome.NOT_RUN),
    /** The statement is wrong or broke a rule of the data. */
    STATEMENT_FAILED(ErrorCode.STATEMENT_FAILED, Outcome.FAILED),
    /** Another statement was run under the same ledger key. */
    REQUEST_ID_REUSED(ErrorCode.REQUEST_ID_REUSED, Outcome.NOT_RUN),
    /** No transaction is open on this connection. */
    NO_TRANSACTION(ErrorCode.TRANSACTION_LOST, Outcome.NOT_RUN),
    /** The request can't be read. */
    BAD_REQUEST(ErrorCode.BACKEND_PROTOCOL, Outcome.NOT_RUN);

    private final ErrorCode code;
    private final Outcome outcome;

    Refusal(ErrorCode code, Outcome outcome) {
      this.code = code;
      this.outcome = outcome;
    }
  }
}
