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
import org.alderyard.backend.Progress;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.backend.ServerReport;
import org.alderyard.common.id.Position;

/** The calls about a server itself, over a few kept connections for each server. */
public final class HttpServerAdmin implements ServerAdmin {
  private static final Duration WAIT_MARGIN = Duration.ofSeconds(1);
  private static final int MAX_IDLE_PER_SERVER = 2;

  private final HttpConnector connector;
  private final Map<InetSocketAddress, Queue<HttpServerConnection>> idle =
      new ConcurrentHashMap<>();

  /** Uses the given connector. */
  public HttpServerAdmin(HttpConnector connector) {
    this.connector = connector;
  }

  @Override
  public CompletableFuture<ServerReport> state(InetSocketAddress server, Duration timeout) {
    return call(server, timeout, connection -> connection.get(BackendPaths.STATE, timeout));
  }

  @Override
  public CompletableFuture<ServerReport> awaitPosition(
      InetSocketAddress server, Position position, Progress progress, Duration wait) {
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
    return take(server, timeout)
        .thenCompose(
            connection ->
                request.apply(connection).whenComplete((node, failure) -> keep(server, connection)))
        .thenApply(BackendJson::report);
  }

  private CompletableFuture<HttpServerConnection> take(InetSocketAddress server, Duration timeout) {
    HttpServerConnection kept = queue(server).poll();
    while (kept != null && !kept.usable()) {
      kept = queue(server).poll();
    }
    return kept == null ? connector.open(server, timeout) : CompletableFuture.completedFuture(kept);
  }

  private void keep(InetSocketAddress server, HttpServerConnection connection) {
    if (connection.usable() && queue(server).size() < MAX_IDLE_PER_SERVER) {
      queue(server).add(connection);
    } else {
      connection.close();
    }
  }

  private Queue<HttpServerConnection> queue(InetSocketAddress server) {
    return idle.computeIfAbsent(server, key -> new ConcurrentLinkedQueue<>());
  }
}
