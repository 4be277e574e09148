package org.alderyard.backend.session;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.Position;

/**
 * A statement with its request id and required log position.
 *
 * @param id the caller's id of the statement; empty for internal statements
 * @param after the log position that the server must have reached before it runs a read or a begin
 * @param statement the statement
 */
public record SessionRequest(
    Optional<String> id, Optional<Position> after, SessionStatement statement) {

  /** Rejects null components. */
  public SessionRequest {
    Objects.requireNonNull(id);
    Objects.requireNonNull(after);
    Objects.requireNonNull(statement);
  }

  /** Returns an internal request, which has no caller id. */
  public static SessionRequest internal(SessionStatement statement) {
    return new SessionRequest(Optional.empty(), Optional.empty(), statement);
  }

  /** Returns a request of a caller. */
  public static SessionRequest of(String id, SessionStatement statement) {
    return new SessionRequest(Optional.of(id), Optional.empty(), statement);
  }

  /** Returns this request with a log position that the server must have reached. */
  public SessionRequest after(Position position) {
    return new SessionRequest(id, Optional.of(position), statement);
  }
}
