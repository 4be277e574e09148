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
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Execute;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Reset;
import org.alderyard.backend.session.SessionStatement.Rollback;
import org.alderyard.backend.session.SessionStatement.SetValue;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * A pooled connection that tracks the session values and prepared statements that earlier sessions
 * left on it.
 *
 * <p>A value or prepared statement counts as present only once the server has accepted it. After a
 * refusal or a lost reply it is unknown, and is sent again before the next statement that needs it.
 * The connection is reset after a transaction in which one was sent and which did not commit, as
 * the rollback may or may not have taken it back.
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
  // Empty for a name whose value on the server is unknown.
  private final Map<String, Optional<String>> values = new HashMap<>();
  private final Set<String> prepared = new HashSet<>();
  private boolean resetRequired;
  private boolean inTransaction;
  private boolean changedInTransaction;

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
    boolean resets =
        mayReset && (resetRequired || hasForeignValues || prepared.size() >= MAX_PREPARED);
    if (resets) {
      requests.add(SessionRequest.internal(new Reset()));
    }
    sessionValues.forEach(
        (name, value) -> {
          if (resets || !Optional.of(value).equals(values.get(name))) {
            requests.add(SessionRequest.internal(new SetValue(name, value)));
          }
        });
    statement.ifPresent(
        shape -> {
          String name = serverName(shape);
          if (resets || !prepared.contains(name)) {
            requests.add(SessionRequest.internal(new Prepare(name, shape.kind(), shape.shape())));
          }
        });
    return requests;
  }

  /** Runs requests and records which values and prepared statements the server has after them. */
  CompletableFuture<List<SessionReply>> run(List<SessionRequest> requests, Duration timeout) {
    return connection
        .run(requests, timeout)
        .whenComplete(
            (replies, failure) -> {
              for (int i = 0; i < requests.size(); i++) {
                record(
                    requests.get(i).statement(),
                    failure == null ? Optional.of(replies.get(i)) : Optional.empty());
              }
            });
  }

  private void record(SessionStatement statement, Optional<SessionReply> reply) {
    boolean accepted = reply.filter(SessionReply::succeeded).isPresent();
    recordTransaction(statement, accepted);
    if (statement instanceof SetValue set) {
      values.put(set.name(), accepted ? Optional.of(set.value()) : Optional.empty());
    } else if (statement instanceof Prepare prepare) {
      recordPrepared(prepare.name(), accepted);
    } else if (statement instanceof Reset) {
      values.clear();
      prepared.clear();
      resetRequired = !accepted;
    } else if (statement instanceof Execute execute && isNotPrepared(reply)) {
      prepared.remove(execute.name());
    }
  }

  private void recordTransaction(SessionStatement statement, boolean accepted) {
    if (statement instanceof Begin) {
      inTransaction |= accepted;
    } else if (statement instanceof SetValue || statement instanceof Prepare) {
      changedInTransaction |= inTransaction;
    } else if (statement instanceof Commit || statement instanceof Rollback) {
      boolean committed = statement instanceof Commit && accepted;
      resetRequired |= changedInTransaction && !committed;
      inTransaction = false;
      changedInTransaction = false;
    }
  }

  private void recordPrepared(String name, boolean accepted) {
    if (accepted) {
      prepared.add(name);
    } else {
      prepared.remove(name);
    }
  }

  private static boolean isNotPrepared(Optional<SessionReply> reply) {
    return reply.filter(refused -> refused.refusedWith(RefusalCode.NOT_PREPARED)).isPresent();
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
