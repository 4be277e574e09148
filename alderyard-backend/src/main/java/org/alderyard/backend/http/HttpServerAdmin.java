package org.alderyard.backend.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import org.alderyard.backend.LogProgress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.common.id.Position;

/** Server administration over HTTP, with a few idle connections kept open to each server. */
public final class HttpServerAdmin implements ServerAdmin {
  private static final Duration WAIT_MARGIN = Duration.ofSeconds(1);
  private static final int MAX_IDLE_CONNECTIONS_PER_SERVER = 2;

  private final HttpConnector connector;
  private final Map<InetSocketAddress, Queue<HttpServerConnection>> idleByServer =
      new ConcurrentHashMap<>();

  /** Creates a client that opens connections with the given connector. */
  public HttpServerAdmin(HttpConnector connector) {
    this.connector = connector;
  }

  @Override
  public CompletableFuture<ServerReport> state(InetSocketAddress server, Duration timeout) {
    return call(server, timeout, connection -> connection.get(BackendPaths.STATE, timeout));
  }

  @Override
  public CompletableFuture<ServerReport> awaitPosition(
      InetSocketAddress server, Position position, LogProgress progress, Duration wait) {
    JsonNode body =
        BackendJson.object()
            .put("term", position.term())
            .put("index", position.index())
            .put("progress", progress.name().toLowerCase(Locale.ROOT))
            .put("timeoutMillis", wait.toMillis());
    return post(server, BackendPaths.WAIT, body, wait.plus(WAIT_MARGIN));
  }

  @Override
  public CompletableFuture<ServerReport> fence(
      InetSocketAddress server, long term, Duration timeout) {
    return post(server, BackendPaths.FENCE, BackendJson.object().put("term", term), timeout);
  }

  @Override
  public CompletableFuture<ServerReport> promote(
      InetSocketAddress server, long term, Duration timeout) {
    return post(server, BackendPaths.PROMOTE, BackendJson.object().put("term", term), timeout);
  }

  @Override
  public CompletableFuture<ServerReport> follow(
      InetSocketAddress server, long term, InetSocketAddress primary, Duration timeout) {
    JsonNode body =
        BackendJson.object()
            .put("term", term)
            .put("primary", primary.getHostString() + ":" + primary.getPort());
    return post(server, BackendPaths.FOLLOW, body, timeout);
  }

  private CompletableFuture<ServerReport> post(
      InetSocketAddress server, String path, JsonNode body, Duration timeout) {
    return call(server, timeout, connection -> connection.post(path, body, timeout));
  }

  private CompletableFuture<ServerReport> call(
      InetSocketAddress server,
      Duration timeout,
      Function<HttpServerConnection, CompletableFuture<JsonNode>> request) {
    return acquire(server, timeout)
        .thenCompose(
            connection ->
                request
                    .apply(connection)
                    .whenComplete((node, failure) -> release(server, connection)))
        .thenApply(BackendJson::report);
  }

  private CompletableFuture<HttpServerConnection> acquire(
      InetSocketAddress server, Duration timeout) {
    HttpServerConnection pooled = idleConnections(server).poll();
    while (pooled != null && !pooled.usable()) {
      pooled = idleConnections(server).poll();
    }
    return pooled == null
        ? connector.open(server, timeout)
        : CompletableFuture.completedFuture(pooled);
  }

  private void release(InetSocketAddress server, HttpServerConnection connection) {
    if (connection.usable() && idleConnections(server).size() < MAX_IDLE_CONNECTIONS_PER_SERVER) {
      idleConnections(server).add(connection);
    } else {
      connection.close();
    }
  }

  private Queue<HttpServerConnection> idleConnections(InetSocketAddress server) {
    return idleByServer.computeIfAbsent(server, key -> new ConcurrentLinkedQueue<>());
  }
}
