package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.common.http.JsonExchange;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.control.SubmitTicketReply;

/** The operators' HTTP interface; every request needs the operators' key. */
public final class OperatorApi {
  private static final String BEARER = "Bearer ";

  private final TicketGateway tickets;
  private final Supplier<View> view;
  private final byte[] key;

  /** Creates the interface. */
  public OperatorApi(TicketGateway tickets, Supplier<View> view, String key) {
    this.tickets = tickets;
    this.view = view;
    this.key = key.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the handler of the operators' port. */
  public HttpHandler handler() {
    RoutingHandler routes =
        new RoutingHandler()
            .put("/v1/tickets/{number}", this::putTicket)
            .get("/v1/pools", show(ViewJson::pools))
            .get("/v1/groups", show(ViewJson::groups))
            .get("/v1/servers", show(ViewJson::servers))
            .get("/v1/hosts", show(ViewJson::hosts))
            .setFallbackHandler(OperatorApi::notFound);
    return exchange -> authorize(exchange, routes);
  }

  private void authorize(HttpServerExchange exchange, HttpHandler next) throws Exception {
    String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    boolean valid =
        header != null
            && header.startsWith(BEARER)
            && MessageDigest.isEqual(
                header.substring(BEARER.length()).getBytes(StandardCharsets.UTF_8), key);
    if (valid) {
      next.handleRequest(exchange);
      return;
    }
    JsonExchange.sendError(
        exchange,
        AlderyardException.notRun(
            ErrorCode.UNAUTHORIZED, "the operators' key is missing or wrong"));
  }

  private static void notFound(HttpServerExchange exchange) {
    JsonExchange.sendError(
        exchange,
        AlderyardException.notRun(
            ErrorCode.NOT_FOUND, "no resource at " + exchange.getRequestPath()));
  }

  private HttpHandler show(Function<View, JsonNode> render) {
    return exchange -> JsonExchange.send(exchange, 200, render.apply(view.get()));
  }

  private void putTicket(HttpServerExchange exchange) {
    JsonExchange.handle(exchange, body -> submit(number(exchange), body));
  }

  private CompletableFuture<JsonNode> submit(long number, byte[] body) {
    return tickets
        .submit(TicketParser.parse(number, Json.parseObject(body)))
        .thenApply(OperatorApi::render);
  }

  private static JsonNode render(SubmitTicketReply reply) {
    var answer = reply.getAnswer();
    String hash = HexFormat.of().formatHex(answer.getContentHash().toByteArray());
    if (answer.getConflict()) {
      throw AlderyardException.notRun(
          ErrorCode.TICKET_CONFLICT,
          "ticket " + answer.getNumber() + " was accepted with other content, hash " + hash);
    }
    ObjectNode node = Json.object();
    node.put("number", answer.getNumber());
    node.put("contentHash", hash);
    node.put(
        "acceptedVersion",
        answer.getAcceptedVersion().getEpoch() + "." + answer.getAcceptedVersion().getVersion());
    return node;
  }

  private static long number(HttpServerExchange exchange) {
    String text = exchange.getQueryParameters().get("number").getFirst();
    try {
      long number = Long.parseLong(text);
      if (number > 0) {
        return number;
      }
    } catch (NumberFormatException notNumber) {
      // Falls through to the typed error below.
    }
    throw AlderyardException.notRun(
        ErrorCode.BAD_REQUEST, "ticket number is '" + text + "'; accepted are 1 to 2^63-1");
  }
}
