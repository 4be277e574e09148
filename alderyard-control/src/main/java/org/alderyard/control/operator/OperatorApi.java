package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.http.Json;
import org.alderyard.common.http.JsonExchange;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.View;
import org.alderyard.control.state.TicketValidator;
import org.alderyard.protocol.generated.control.DrainHostRequest;

/** HTTP API for operators; every request must carry the operator key as a bearer token. */
public final class OperatorApi {
  private static final String BEARER = "Bearer ";

  private final ControlGateway control;
  private final Supplier<View> view;
  private final byte[] key;

  /**
   * Creates the API.
   *
   * @param control sends requests to the leader of the control hosts
   * @param view supplies the view that read requests render
   * @param key the operator key
   */
  public OperatorApi(ControlGateway control, Supplier<View> view, String key) {
    this.control = control;
    this.view = view;
    this.key = key.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the HTTP handler for the operator port. */
  public HttpHandler handler() {
    RoutingHandler routes =
        new RoutingHandler()
            .put("/v1/tickets/{number}", this::putTicket)
            .get("/v1/tickets/{number}", this::getTicket)
            .get("/v1/tickets", this::listTickets)
            .get("/v1/status", this::status)
            .post("/v1/hosts/{host}/drain", this::drain)
            .get("/v1/pools", viewHandler(ViewJson::pools))
            .get("/v1/groups", viewHandler(ViewJson::groups))
            .get("/v1/servers", viewHandler(ViewJson::servers))
            .get("/v1/hosts", viewHandler(ViewJson::hosts))
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
        AlderyardException.notRun(ErrorCode.UNAUTHORIZED, "the operator key is missing or wrong"));
  }

  private static void notFound(HttpServerExchange exchange) {
    JsonExchange.sendError(
        exchange,
        AlderyardException.notRun(
            ErrorCode.NOT_FOUND, "no resource at " + exchange.getRequestPath()));
  }

  private HttpHandler viewHandler(Function<View, JsonNode> render) {
    return exchange -> JsonExchange.send(exchange, 200, render.apply(view.get()));
  }

  private void putTicket(HttpServerExchange exchange) {
    JsonExchange.handle(exchange, body -> submit(ticketNumber(exchange), Json.parseObject(body)));
  }

  private CompletableFuture<JsonNode> submit(long number, JsonNode body) {
    TicketParser.ParsedTicket parsed = TicketParser.parse(number, body);
    if (parsed.faults().isEmpty()) {
      return control.submit(parsed.ticket()).thenApply(TicketJson::answer);
    }
    // Reports all faults in one response: parse faults and violated rules of the parsed objects.
    List<FieldFault> faults = new ArrayList<>(parsed.faults());
    faults.addAll(
        TicketValidator.check(view.get(), host -> true, parsed.ticket().getObjectsList()));
    throw new TicketException(number, faults);
  }

  private void getTicket(HttpServerExchange exchange) {
    JsonExchange.handle(
        exchange,
        body -> {
          long number = ticketNumber(exchange);
          return control.tickets(number).thenApply(reply -> TicketJson.ticketStatus(number, reply));
        });
  }

  private void listTickets(HttpServerExchange exchange) {
    JsonExchange.handle(exchange, body -> control.tickets(0).thenApply(TicketJson::list));
  }

  private void status(HttpServerExchange exchange) {
    JsonExchange.handle(exchange, body -> control.status().thenApply(TicketJson::status));
  }

  private void drain(HttpServerExchange exchange) {
    JsonExchange.handle(exchange, body -> drain(exchange, body));
  }

  private CompletableFuture<JsonNode> drain(HttpServerExchange exchange, byte[] body) {
    String host = new HostId(exchange.getQueryParameters().get("host").getFirst()).value();
    List<FieldFault> faults = new ArrayList<>();
    JsonNode node = body.length == 0 ? Json.object() : Json.parseObject(body);
    FieldReader reader = new FieldReader("host/" + host, node, faults);
    reader.reportUnknownFields(Set.of("draining"));
    boolean draining = reader.flag("draining", true);
    if (!faults.isEmpty()) {
      throw AlderyardException.notRun(ErrorCode.BAD_REQUEST, faults.get(0).toString());
    }
    DrainHostRequest request =
        DrainHostRequest.newBuilder().setHost(host).setDraining(draining).build();
    return control.drain(request).thenApply(reply -> TicketJson.drain(host, draining, reply));
  }

  private static long ticketNumber(HttpServerExchange exchange) {
    String text = exchange.getQueryParameters().get("number").getFirst();
    try {
      long number = Long.parseLong(text);
      if (number > 0) {
        return number;
      }
    } catch (NumberFormatException malformed) {
      // The error below covers malformed numbers as well.
    }
    throw AlderyardException.notRun(
        ErrorCode.BAD_REQUEST,
        "ticket number is '" + text + "'; it must be an integer from 1 to 2^63-1");
  }
}
