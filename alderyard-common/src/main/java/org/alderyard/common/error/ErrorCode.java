package org.alderyard.common.error;

/** The error codes, each with its HTTP status and whether a caller may retry. */
public enum ErrorCode {
  BAD_REQUEST(400, false),
  MALFORMED_JSON(400, false),
  REQUEST_TOO_LARGE(413, false),
  REQUEST_BROKEN_OFF(408, true),
  UNAUTHORIZED(401, false),
  TOKEN_DAMAGED(400, false),
  TOKEN_FORGED(400, false),
  TOKEN_EXPIRED(400, false),
  TOKEN_WRONG_POOL(400, false),
  SESSION_TAIL_LOST(409, false),
  POOL_UNKNOWN(404, false),
  NOT_FOUND(404, false),
  TRANSACTION_UNKNOWN(404, false),
  TRANSACTION_LOST(409, true),
  STATEMENT_FAILED(422, false),
  REQUEST_ID_REUSED(409, false),
  REQUEST_IN_PROGRESS(409, true),
  REQUEST_TOO_OLD(410, false),
  NOT_OWNER(503, true),
  OWNER_CHANGED(409, false),
  TICKET_CONFLICT(409, false),
  TICKET_INVALID(422, false),
  TICKET_FORGOTTEN(410, false),
  CONFIGURATION_INVALID(422, false),
  CONFIGURATION_CONFLICT(409, false),
  OVERLOADED(503, true),
  DRAINING(503, true),
  NO_PRIMARY(503, true),
  NO_ELIGIBLE_SERVER(503, true),
  VIEW_LEASE_EXPIRED(503, true),
  PRIMARY_REPLACED(503, true),
  NOT_LEADER(503, true),
  NO_QUORUM(503, true),
  CONNECTION_LOST(502, true),
  BACKEND_PROTOCOL(502, true),
  DEADLINE_EXCEEDED(504, true),
  SETTINGS_INVALID(500, false),
  STORAGE_DAMAGED(500, false),
  STORAGE_FAILED(500, false),
  PEER_REJECTED(503, false),
  METHOD_NOT_SERVED(503, true),
  MESSAGE_DAMAGED(502, true),
  INTERNAL(500, false);

  private static final int MIN_CLIENT_ERROR_STATUS = 400;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final int httpStatus;
  private final boolean retryable;

  ErrorCode(int httpStatus, boolean retryable) {
    this.httpStatus = httpStatus;
    this.retryable = retryable;
  }

  /** Returns the HTTP status of a response with this error. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the request itself is at fault, so that every host refuses it. */
  public boolean isRequestFault() {
    return !retryable
        && httpStatus >= MIN_CLIENT_ERROR_STATUS
        && httpStatus < MIN_SERVER_ERROR_STATUS;
  }

  /** Returns whether the unchanged request may succeed later. */
  public boolean retryable() {
    return retryable;
  }
}
