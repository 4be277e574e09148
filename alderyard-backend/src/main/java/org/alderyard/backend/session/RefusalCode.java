package org.alderyard.backend.session;

/** Why a statement has no success. */
public enum RefusalCode {
  /** The server had no room; nothing ran. */
  BUSY(true),
  /** The transaction ended without keeping anything. */
  ABORTED(true),
  /** The server's log does not hold the position yet; nothing ran. */
  BEHIND(true),
  /** The server does not lead its group; nothing is kept. */
  NOT_PRIMARY(true),
  /** Another server listens at the address; nothing ran. */
  WRONG_SERVER(true),
  /** The server has all its connections; nothing ran. */
  CONNECTION_LIMIT(true),
  /** The statement ran and failed. */
  FAILED(false),
  /** No statement is prepared under the name; nothing ran. */
  NOT_PREPARED(false),
  /** The statement took too long, and may have run. */
  TIMED_OUT(false),
  /** The caller may not do this. */
  UNAUTHORIZED(false),
  /** There is no database of this name. */
  UNKNOWN_DATABASE(false),
  /** The message is too large. */
  TOO_LARGE(false),
  /** The message or the statement can't be read, or does not fit the session's state. */
  MALFORMED(false),
  /** What was sent may be kept or not. */
  IN_DOUBT(false);

  private final boolean nothingKept;

  RefusalCode(boolean nothingKept) {
    this.nothingKept = nothingKept;
  }

  /** Returns whether a caller who gets this code is promised that nothing of it is kept. */
  public boolean nothingKept() {
    return nothingKept;
  }
}
