package org.alderyard.proxy.callersession;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Reset;
import org.alderyard.backend.session.SessionStatement.SetValue;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * A pooled connection that tracks the session values and prepared statements that earlier sessions
 * left on it.
 *
 * <p>Prepared statements are named by their shape, so that sessions with colliding names can share
 * a connection and each shape is prepared once per connection. Only one session at a time may use
 * the connection.
 */
final class PooledSession implements PooledConnection {
  /**
   * Number of prepared statements at which the connection is reset; fewer shapes are in use at one
   * time.
   */
  private static final int MAX_PREPARED = 256;

  private static final int NAME_BYTES = 8;

  private final SessionConnection connection;
  private final ConnectionOwner owner;
  private final Map<String, String> values = new HashMap<>();
  private final Set<String> prepared = new HashSet<>();

  PooledSession(SessionConnection connection, ConnectionOwner owner) {
    this.connection = connection;
    this.owner = owner;
  }

  /** Returns the name under which a shape is prepared on any server. */
  static String serverName(Prepare statement) {
    byte[] hash =
        DigestUtils.sha256(
            (statement.kind() + " " + statement.shape()).getBytes(StandardCharsets.UTF_8));
    return "p" + HexFormat.of().formatHex(hash, 0, NAME_BYTES);
  }

  /**
   * Returns the requests to send before a statement of a session with the given values.
   *
   * @param sessionValues the values of the session
   * @param statement the prepared statement to execute, if any
   * @param mayReset whether the connection is outside a transaction
   */
  List<SessionRequest> setupRequests(
      Map<String, String> sessionValues, Optional<Prepare> statement, boolean mayReset) {
    List<SessionRequest> requests = new ArrayList<>();
    boolean hasForeignValues = !sessionValues.keySet().containsAll(values.keySet());
    if (mayReset && (hasForeignValues || prepared.size() >= MAX_PREPARED)) {
      requests.add(SessionRequest.internal(new Reset()));
      values.clear();
      prepared.clear();
    }
    sessionValues.forEach(
        (name, value) -> {
          if (!value.equals(values.put(name, value))) {
            requests.add(SessionRequest.internal(new SetValue(name, value)));
          }
        });
    statement.ifPresent(
        shape -> {
          String name = serverName(shape);
          if (prepared.add(name)) {
            requests.add(SessionRequest.internal(new Prepare(name, shape.kind(), shape.shape())));
          }
        });
    return requests;
  }

  /** Records that the server no longer has a prepared statement; its next use prepares it again. */
  void removePrepared(Prepare statement) {
    prepared.remove(serverName(statement));
  }

  CompletableFuture<List<SessionReply>> run(List<SessionRequest> requests, Duration timeout) {
    return connection.run(requests, timeout);
  }

  /** Sends a statement that the proxy itself issues. */
  CompletableFuture<SessionReply> runInternal(SessionStatement statement, Duration timeout) {
    return run(List.of(SessionRequest.internal(statement)), timeout)
        .thenApply(replies -> replies.get(0));
  }

  @Override
  public ConnectionOwner owner() {
    return owner;
  }

  @Override
  public boolean usable() {
    return connection.usable();
  }

  @Override
  public void close() {
    connection.close();
  }
}
