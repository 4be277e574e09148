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

/** The callers' HTTP interface, with the announcements of backend servers on the same port. */
public final class CallerApi {
  /** The header that carries the session token, both ways. */
  public static final HttpString SESSION_HEADER = new HttpString("Alderyard-Session");

  /** The header that names the caller, the scope of its request ids. */
  public static final HttpString CALLER_HEADER = new HttpString("Alderyard-Caller");

  private static final String TRANSACTION = "/v1/pools/{pool}/transactions/{id}";

  private final HostId host;
  private final StatementService statements;
  private final TransactionApi transactions;
  private final AnnouncementHandler announcements;
  private final BooleanSupplier ready;
  private final RequestsInFlight inFlight;
  private volatile boolean ending;
  private final HttpHandler metrics;

  /** Creates the interface. */
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
      endKeptConnection(exchange);
      routes.handleRequest(exchange);
    };
  }

  /**
   * Ends kept connections with their next answers; called once the port takes no new ones.
   *
   * <p>Guards against a request that a caller sends at the moment when its connection is cut: it
   * would get no answer. While the port still takes connections a caller that is told to end its
   * own opens a new one here, and the one that is on its way when the port closes is cut.
   */
  public void endConnections() {
    ending = true;
  }

  private void endKeptConnection(HttpServerExchange exchange) {
    if (ending) {
      exchange.setPersistent(false);
    }
  }

  private HttpHandler routes() {
    return new RoutingHandler()
        .post("/v1/pools/{pool}/statements", this::statement)
        .post("/v1/pools/{pool}/transactions", this::begin)
        .post(TRANSACTION + "/statements", exchange -> pinned(exchange, Action.STATEMENT))
        .post(TRANSACTION + "/commit", exchange -> pinned(exchange, Action.COMMIT))
        .post(TRANSACTION + "/rollback", exchange -> pinned(exchange, Action.ROLLBACK))
        .post("/v1/announcements", announcements::receive)
        .get("/live", exchange -> state(exchange, true))
        .get("/metrics", metrics)
        .get("/ready", exchange -> state(exchange, ready.getAsBoolean()))
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

  /** A host that shuts down still serves the rest of its open transactions. */
  private void pinned(HttpServerExchange exchange, Action action) {
    JsonExchange.handle(
        exchange,
        body ->
            inFlight.runToTheEnd(
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
        done -> {
          done.sessionToken()
              .ifPresent(token -> exchange.getResponseHeaders().put(SESSION_HEADER, token));
          return done.body();
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

  private static void state(HttpServerExchange exchange, boolean good) {
    JsonExchange.send(exchange, good ? 200 : 503, Json.object().put("ok", good));
  }
}
