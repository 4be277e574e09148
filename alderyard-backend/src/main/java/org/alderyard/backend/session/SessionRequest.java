package org.alderyard.backend.session;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.Position;

/**
 * One statement on its way.
 *
 * @param id the caller's name for it; empty for statements of the system itself
 * @param after the position that the server's log must hold before it runs a read or a begin
 * @param statement the statement
 */
public record SessionRequest(
    Optional<String> id, Optional<Position> after, SessionStatement statement) {

  /** Checks. */
  public SessionRequest {
    Objects.requireNonNull(id);
    Objects.requireNonNull(after);
    Objects.requireNonNull(statement);
  }

  /** Returns a statement of the system itself. */
  public static SessionRequest own(SessionStatement statement) {
    return new SessionRequest(Optional.empty(), Optional.empty(), statement);
  }

  /** Returns a caller's statement. */
  public static SessionRequest of(String id, SessionStatement statement) {
    return new SessionRequest(Optional.of(id), Optional.empty(), statement);
  }

  /** Returns this request with a position that the server must hold. */
  public SessionRequest after(Position position) {
    return new SessionRequest(id, Optional.of(position), statement);
  }
}
