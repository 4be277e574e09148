package org.alderyard.testkit.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionConnection;
import org.alderyard.backend.session.SessionConnector;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;

/**
 * In-memory database group with one primary and replicas that receive the log on request.
 *
 * <pre>{@code
 * ModelGroup group = new ModelGroup("g1", "s1", "s2", "s3");
 * group.server("s1").refuseBusy(1);
 * group.replicate("s2");
 * group.promote("s2");
 * }</pre>
 */
public final class ModelGroup implements SessionConnector {
  private static final int FIRST_PORT = 9_000;

  private final GroupId id;
  private final Map<String, ModelServer> servers = new LinkedHashMap<>();
  private final AtomicInteger connections = new AtomicInteger();
  private String primary;
  private long term = 1;

  /** Creates a group whose first server is the primary; each server is in a separate zone. */
  public ModelGroup(String id, String... names) {
    this.id = new GroupId(id);
    for (String name : names) {
      int index = servers.size();
      ServerState state =
          new ServerState(
              new ServerId(name),
              1,
              this.id,
              new ZoneName("z" + index),
              new InetSocketAddress("127.0.0.1", FIRST_PORT + index),
              ServerStatus.ACTIVE);
      servers.put(name, new ModelServer(state));
    }
    primary = names[0];
  }

  /** Returns the id of the group. */
  public GroupId id() {
    return id;
  }

  /** Returns the server of the given name; null if there is none. */
  public ModelServer server(String name) {
    return servers.get(name);
  }

  /** Returns the registered states of all servers. */
  public List<ServerState> states() {
    return servers.values().stream().map(ModelServer::state).toList();
  }

  /** Returns the number of connections opened so far. */
  public int connectionCount() {
    return connections.get();
  }

  /** Copies the log of the primary to a replica. */
  public synchronized void replicate(String replica) {
    List<ModelServer.Entry> log = servers.get(primary).log();
    servers.get(replica).copy(log, log.size());
  }

  /** Copies the log of the primary to all replicas. */
  public void replicate() {
    servers.keySet().stream().filter(name -> !name.equals(primary)).forEach(this::replicate);
  }

  /** Makes a server the primary of the next term; the log of the server stays as it is. */
  public synchronized void promote(String name) {
    primary = name;
    term++;
  }

  /** Returns the term of the primary. */
  public synchronized long term() {
    return term;
  }

  /** Returns whether a server is the primary. */
  public synchronized boolean isPrimary(String name) {
    return name.equals(primary);
  }

  synchronized boolean isPrimary(ModelServer server) {
    return server.state().id().value().equals(primary);
  }

  synchronized Position commit(ModelServer server, Map<String, String> items) {
    Position position = new Position(term, server.lastLogPosition().index() + 1);
    server.append(new ModelServer.Entry(position, Map.copyOf(items)));
    return position;
  }

  @Override
  public CompletableFuture<SessionConnection> connect(
      ServerState state, ConnectionOwner owner, Duration timeout) {
    Optional<ModelServer> server =
        servers.values().stream()
            .filter(candidate -> candidate.state().address().equals(state.address()))
            .findFirst();
    if (server.isEmpty() || server.get().isUnreachable()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "server refused the connection"));
    }
    if (!server.get().state().id().equals(state.id())) {
      return CompletableFuture.failedFuture(
          new ConnectRefusedException(
              RefusalCode.WRONG_SERVER, "address belongs to another server"));
    }
    return CompletableFuture.completedFuture(
        new ModelConnection(this, server.get(), owner, connections.incrementAndGet()));
  }
}
