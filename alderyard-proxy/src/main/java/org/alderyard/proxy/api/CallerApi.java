package org.alderyard.proxy.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.HttpString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.common.http.JsonExchange;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.protocol.generated.forward.Action;
import org.alderyard.protocol.generated.forward.ForwardRequest;
import org.alderyard.proxy.drain.RequestsInFlight;
import org.alderyard.proxy.statement.StatementService;

/**
 * The HTTP interface for callers, which also accepts announcements of backend servers on the same
 * port.
 */
public final class CallerApi {
  /** The header that carries the session token in requests and responses. */
  public static final HttpString SESSION_HEADER = new HttpString("Alderyard-Session");

  /** The header that identifies the caller. Request ids are unique per caller. */
  public static final HttpString CALLER_HEADER = new HttpString("Alderyard-Caller");

  private static final String TRANSACTION = "/v1/pools/{pool}/transactions/{id}";

  private final HostId host;
  private final StatementService statements;
  private final TransactionApi transactions;
  private final AnnouncementHandler announcements;
  private final BooleanSupplier ready;
  private final RequestsInFlight inFlight;
  private volatile boolean closingConnections;
  private final HttpHandler metrics;

  /**
   * Creates the interface. Requests are counted in {@code inFlight}, and {@code ready} determines
   * the response of the readiness check.
   */
  public CallerApi(
      HostId host,
      StatementService statements,
      TransactionApi transactions,
      AnnouncementHandler announcements,
      BooleanSupplier ready,
      RequestsInFlight inFlight,
      HttpHandler metrics) {
    this.host = host;
    this.statements = statements;
    this.transactions = transactions;
    this.announcements = announcements;
    this.ready = ready;
    this.inFlight = inFlight;
    this.metrics = metrics;
  }

  /** Returns the handler of the callers' port. */
  public HttpHandler handler() {
    HttpHandler routes = routes();
    return exchange -> {
      disableKeepAlive(exchange);
      routes.handleRequest(exchange);
    };
  }

  /**
   * Closes each keep-alive connection with its next response. Must be called after the port stops
   * accepting connections.
   *
   * <p>Cutting a connection would lose a request that the caller sends at the same moment. While
   * the port still accepts connections, a caller whose connection is closed opens a new connection
   * to this host, and a connection that is being established when the port closes is cut.
   */
  public void closeKeepAliveConnections() {
    closingConnections = true;
  }

  private void disableKeepAlive(HttpServerExchange exchange) {
    if (closingConnections) {
      exchange.setPersistent(false);
    }
  }

  private HttpHandler routes() {
    return new RoutingHandler()
        .post("/v1/pools/{pool}/statements", this::statement)
        .post("/v1/pools/{pool}/transactions", this::begin)
        .post(TRANSACTION + "/statements", exchange -> transaction(exchange, Action.STATEMENT))
        .post(TRANSACTION + "/commit", exchange -> transaction(exchange, Action.COMMIT))
        .post(TRANSACTION + "/rollback", exchange -> transaction(exchange, Action.ROLLBACK))
        .post("/v1/announcements", announcements::receive)
        .get("/live", exchange -> sendHealth(exchange, true))
        .get("/metrics", metrics)
        .get("/ready", exchange -> sendHealth(exchange, ready.getAsBoolean()))
        .setFallbackHandler(
            exchange ->
                JsonExchange.sendError(
                    exchange,
                    AlderyardException.notRun(
                        ErrorCode.NOT_FOUND, "no resource at " + exchange.getRequestPath())));
  }

  private void statement(HttpServerExchange exchange) {
    JsonExchange.handle(exchange, body -> inFlight.run(() -> run(exchange, body)));
  }

  private CompletableFuture<JsonNode> run(HttpServerExchange exchange, byte[] body) {
    PoolName pool = pool(exchange);
    var request =
        StatementJson.request(
            pool,
            Json.parseObject(body),
            header(exchange, CALLER_HEADER),
            header(exchange, SESSION_HEADER));
    return statements
        .run(request)
        .thenApply(
            answer -> {
              exchange.getResponseHeaders().put(SESSION_HEADER, answer.sessionToken());
              return StatementJson.answer(answer, host);
            });
  }

  private void begin(HttpServerExchange exchange) {
    JsonExchange.handle(
        exchange,
        body ->
            inFlight.run(
                () -> reply(exchange, transactions.begin(pool(exchange), body, caller(exchange)))));
  }

  /** Handles a request of an open transaction, also while the host shuts down. */
  private void transaction(HttpServerExchange exchange, Action action) {
    JsonExchange.handle(
        exchange,
        body ->
            inFlight.runEvenIfDraining(
                () -> reply(exchange, transactions.request(request(exchange, action, body)))));
  }

  private static ForwardRequest request(HttpServerExchange exchange, Action action, byte[] body) {
    return ForwardRequest.newBuilder()
        .setPool(pool(exchange).value())
        .setTransactionId(exchange.getQueryParameters().get("id").getFirst())
        .setAction(action)
        .setBody(ByteString.copyFrom(body))
        .setCallerId(caller(exchange).value())
        .setSessionToken(header(exchange, SESSION_HEADER).orElse(""))
        .build();
  }

  private static CompletableFuture<JsonNode> reply(
      HttpServerExchange exchange, CompletableFuture<TransactionApi.Reply> reply) {
    return reply.thenApply(
        result -> {
          result
              .sessionToken()
              .ifPresent(token -> exchange.getResponseHeaders().put(SESSION_HEADER, token));
          return result.body();
        });
  }

  private static PoolName pool(HttpServerExchange exchange) {
    return new PoolName(exchange.getQueryParameters().get("pool").getFirst());
  }

  private static CallerId caller(HttpServerExchange exchange) {
    return new CallerId(header(exchange, CALLER_HEADER).orElse("anonymous"));
  }

  private static Optional<String> header(HttpServerExchange exchange, HttpString name) {
    return Optional.ofNullable(exchange.getRequestHeaders().get(name))
        .map(values -> String.join(",", values))
        .filter(value -> !value.isEmpty());
  }

  private static void sendHealth(HttpServerExchange exchange, boolean ok) {
    JsonExchange.send(exchange, ok ? 200 : 503, Json.object().put("ok", ok));
  }
}
