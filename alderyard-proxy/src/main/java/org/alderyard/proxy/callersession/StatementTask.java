package org.alderyard.proxy.callersession;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.common.view.DatabaseState;

/**
 * One statement that needs a server.
 *
 * @param request what is sent to the server
 * @param kind whether it may change data
 * @param ending whether it ends a transaction
 * @param prepared the prepared statement that it runs
 * @param database its database
 * @param values the values of its session
 * @param deadlineNanos when it must have an answer
 */
record StatementTask(
    SessionRequest request,
    StatementKind kind,
    boolean ending,
    Optional<Prepare> prepared,
    DatabaseState database,
    Map<String, String> values,
    long deadlineNanos) {

  /** Copies. */
  StatementTask {
    Objects.requireNonNull(request);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(prepared);
    Objects.requireNonNull(database);
    values = Map.copyOf(values);
  }
}
