package org.alderyard.testkit.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
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
 * A database group in memory: one primary, and replicas that get the log when they are told to.
 *
 * <pre>{@code
 * ModelGroup group = new ModelGroup("g1", "s1", "s2", "s3");
 * group.server("s1").busy(1);
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

  /** Creates a group whose first server leads; each server is in a zone of its own. */
  public ModelGroup(String id, String... names) {
    this.id = new GroupId(id);
    for (String name : names) {
      int place = servers.size();
      ServerState state =
          new ServerState(
              new ServerId(name),
              1,
              this.id,
              new ZoneName("z" + place),
              new InetSocketAddress("127.0.0.1", FIRST_PORT + place),
              ServerStatus.ACTIVE);
      servers.put(name, new ModelServer(state));
    }
    primary = names[0];
  }

  /** Returns the name of the group. */
  public GroupId id() {
    return id;
  }

  /** Returns a server. */
  public ModelServer server(String name) {
    return servers.get(name);
  }

  /** Returns all servers as the registry knows them. */
  public List<ServerState> states() {
    return servers.values().stream().map(ModelServer::state).toList();
  }

  /** Returns how many connections were opened. */
  public int connectionCount() {
    return connections.get();
  }

  /** Brings a replica up to the primary's log. */
  public synchronized void replicate(String replica) {
    List<ModelServer.Entry> log = servers.get(primary).log();
    servers.get(replica).copy(log, log.size());
  }

  /** Brings all replicas up to the primary's log. */
  public void replicate() {
    servers.keySet().stream().filter(name -> !name.equals(primary)).forEach(this::replicate);
  }

  /** Appoints another primary, which leads the next term with what it holds. */
  public synchronized void promote(String name) {
    primary = name;
    term++;
  }

  /** Returns the term of the primary. */
  public synchronized long term() {
    return term;
  }

  /** Returns whether a server leads. */
  public synchronized boolean leads(String name) {
    return name.equals(primary);
  }

  synchronized boolean leads(ModelServer server) {
    return server.state().id().value().equals(primary);
  }

  synchronized Position commit(ModelServer server, Map<String, String> items) {
    Position position = new Position(term, server.received().index() + 1);
    server.append(new ModelServer.Entry(position, Map.copyOf(items)));
    return position;
  }

  @Override
  public CompletableFuture<SessionConnection> connect(ServerState state, Duration timeout) {
    Optional<ModelServer> server =
        servers.values().stream()
            .filter(candidate -> candidate.state().address().equals(state.address()))
            .findFirst();
    if (server.isEmpty() || server.get().isUnreachable()) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "nothing listens there"));
    }
    if (!server.get().state().id().equals(state.id())) {
      return CompletableFuture.failedFuture(
          new ConnectRefusedException(RefusalCode.WRONG_SERVER, "another server"));
    }
    return CompletableFuture.completedFuture(
        new ModelConnection(this, server.get(), connections.incrementAndGet()));
  }
}
