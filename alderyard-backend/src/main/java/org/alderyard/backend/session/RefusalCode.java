package org.alderyard.backend.session;

/** Reason why a statement did not succeed. */
public enum RefusalCode {
  /** The server is at capacity; nothing ran. */
  BUSY(true),
  /** The transaction was rolled back. */
  ABORTED(true),
  /** The server's log has not reached the required position; nothing ran. */
  BEHIND(true),
  /** The server is not the primary of its group; no write is kept. */
  NOT_PRIMARY(true),
  /** Another server listens at the address; nothing ran. */
  WRONG_SERVER(true),
  /** The server's connection limit is reached; nothing ran. */
  CONNECTION_LIMIT(true),
  /** The organisation of the caller has reached its limit; nothing ran. */
  OVER_QUOTA(true),
  /** The statement ran and failed. */
  FAILED(false),
  /** No statement is prepared under the name; nothing ran. */
  NOT_PREPARED(false),
  /** The statement timed out and may have run. */
  TIMED_OUT(false),
  /** The caller is not authorized. */
  UNAUTHORIZED(false),
  /** No database has this name. */
  UNKNOWN_DATABASE(false),
  /** The message exceeds the size limit. */
  TOO_LARGE(false),
  /** The message or statement is malformed or not allowed in the session's state. */
  MALFORMED(false),
  /** The outcome is unknown: the writes may or may not be kept. */
  IN_DOUBT(false);

  private final boolean nothingKept;

  RefusalCode(boolean nothingKept) {
    this.nothingKept = nothingKept;
  }

  /** Returns whether this code guarantees that no write of the statement is kept. */
  public boolean nothingKept() {
    return nothingKept;
  }
}
