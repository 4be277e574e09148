package org.alderyard.proxy.pool;

import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;

/** The idle connections to each server, by server and incarnation. */
public final class ServerPools implements AutoCloseable {
  private final ServerConnector connector;
  private final ConcurrentMap<Key, Queue<ServerConnection>> idle = new ConcurrentHashMap<>();

  /** Creates pools that open connections with the given connector. */
  public ServerPools(ServerConnector connector) {
    this.connector = connector;
  }

  /** Returns a connection that nobody else uses until it is given back. */
  public CompletableFuture<ServerConnection> take(ServerState server, Duration timeout) {
    Queue<ServerConnection> queue = queue(server);
    ServerConnection kept = queue.poll();
    while (kept != null && !kept.usable()) {
      kept = queue.poll();
    }
    return kept == null
        ? connector.connect(server.address(), timeout)
        : CompletableFuture.completedFuture(kept);
  }

  /** Gives a connection back; one that is in doubt is closed. */
  public void release(ServerState server, ServerConnection connection) {
    if (connection.usable()) {
      queue(server).add(connection);
    } else {
      connection.close();
    }
  }

  private Queue<ServerConnection> queue(ServerState server) {
    return idle.computeIfAbsent(
        new Key(server.id(), server.incarnation()), key -> new ConcurrentLinkedQueue<>());
  }

  @Override
  public void close() {
    idle.values().forEach(queue -> queue.forEach(ServerConnection::close));
    idle.clear();
  }

  private record Key(ServerId server, long incarnation) {}
}
