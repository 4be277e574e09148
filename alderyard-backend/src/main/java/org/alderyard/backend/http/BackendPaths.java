package org.alderyard.backend.http;

import io.undertow.util.HttpString;

/** Paths and headers of the backend protocol. */
public final class BackendPaths {
  /** Header with the number of a request on its connection; the response repeats it. */
  public static final HttpString REQUEST_NUMBER_HEADER = new HttpString("Alderyard-Request");

  /** Runs a statement. */
  public static final String STATEMENTS = "/v1/statements";

  /** Opens a transaction on the connection. */
  public static final String BEGIN = "/v1/transaction/begin";

  /** Commits the transaction of the connection. */
  public static final String COMMIT = "/v1/transaction/commit";

  /** Rolls back the transaction of the connection. */
  public static final String ROLLBACK = "/v1/transaction/rollback";

  /** Returns the server's state. */
  public static final String STATE = "/v1/state";

  /** Returns the server's state when the server has reached a position. */
  public static final String WAIT = "/v1/wait";

  /** Fences the server at a term. */
  public static final String FENCE = "/v1/fence";

  /** Promotes the server to primary. */
  public static final String PROMOTE = "/v1/promote";

  /** Makes the server a replica of a primary. */
  public static final String FOLLOW = "/v1/follow";

  private BackendPaths() {}
}
