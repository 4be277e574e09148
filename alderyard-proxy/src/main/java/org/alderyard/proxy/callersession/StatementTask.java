package org.alderyard.proxy.callersession;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.common.log.LogText;
import org.alderyard.common.view.DatabaseState;

/**
 * A statement to run on a backend server.
 *
 * @param lookup when the database and the owner were looked up
 * @param owner the organisation of the caller
 * @param request the request to send to the server
 * @param kind whether the statement may change data
 * @param endsTransaction whether the statement ends a transaction
 * @param prepared the prepared statement to execute, if any
 * @param database the database of the statement
 * @param values the session values to apply before the statement
 * @param deadlineNanos the deadline for the reply, on the monotonic clock
 */
record StatementTask(
    ViewLookup lookup,
    ConnectionOwner owner,
    SessionRequest request,
    StatementKind kind,
    boolean endsTransaction,
    Optional<Prepare> prepared,
    DatabaseState database,
    Map<String, String> values,
    long deadlineNanos) {
  private static final int MAX_LOGGED_ID_CHARS = 64;

  /** Rejects null components and copies the values. */
  StatementTask {
    Objects.requireNonNull(lookup);
    Objects.requireNonNull(owner);
    Objects.requireNonNull(request);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(prepared);
    Objects.requireNonNull(database);
    values = Map.copyOf(values);
  }

  /** Returns the id of the caller's request as it may be logged. */
  String loggedId() {
    return request.id().map(StatementTask::loggedId).orElse("-");
  }

  /** Returns a caller's request id as it may be logged. */
  static String loggedId(String id) {
    return LogText.sanitize(id, MAX_LOGGED_ID_CHARS);
  }
}
