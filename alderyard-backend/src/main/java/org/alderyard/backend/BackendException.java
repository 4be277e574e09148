package org.alderyard.backend;

import java.util.Objects;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** Thrown when a backend server refuses a request with a refusal code. */
public class BackendException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final Refusal refusal;

  /** Creates an exception with the error code and outcome of the refusal. */
  public BackendException(Refusal refusal, String message) {
    super(refusal.code, refusal.outcome, message);
    this.refusal = Objects.requireNonNull(refusal);
  }

  /** Returns the server's reason for the refusal. */
  public Refusal refusal() {
    return refusal;
  }

  /** Refusal codes of the backend protocol. A refused request has had no effect. */
  public enum Refusal {
    /** The request's term differs from the server's term. */
    TERM_MISMATCH(ErrorCode.PRIMARY_REPLACED, Outcome.NOT_RUN),
    /** A write was sent to a server that is not the primary. */
    NOT_PRIMARY(ErrorCode.PRIMARY_REPLACED, Outcome.NOT_RUN),
    /** All slots and the server's queue are full. */
    BUSY(ErrorCode.OVERLOADED, Outcome.NOT_RUN),
    /** The statement is invalid or violates a constraint. */
    STATEMENT_FAILED(ErrorCode.STATEMENT_FAILED, Outcome.FAILED),
    /** A different statement was run under the same ledger key. */
    REQUEST_ID_REUSED(ErrorCode.REQUEST_ID_REUSED, Outcome.NOT_RUN),
    /** No transaction is open on this connection. */
    NO_TRANSACTION(ErrorCode.TRANSACTION_LOST, Outcome.NOT_RUN),
    /** The request is malformed. */
    BAD_REQUEST(ErrorCode.BACKEND_PROTOCOL, Outcome.NOT_RUN);

    private final ErrorCode code;
    private final Outcome outcome;

    Refusal(ErrorCode code, Outcome outcome) {
      this.code = code;
      this.outcome = outcome;
    }
  }
}
