package org.alderyard.proxy.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.common.http.JsonExchange;
import org.alderyard.common.id.Addresses;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.log.LogText;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.view.StateCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives announcements of backend servers and forwards them to the control hosts. */
public final class AnnouncementHandler {
  private static final Logger log = LoggerFactory.getLogger(AnnouncementHandler.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int DEFAULT_LEASE_MILLIS = 1_500;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_QUOTED_CHARS = 64;

  private final ControlClient control;

  /** Creates a handler that forwards announcements through the given client. */
  public AnnouncementHandler(ControlClient control) {
    this.control = control;
  }

  /** Returns the handler of a port that accepts only announcements. */
  public HttpHandler handler() {
    return new RoutingHandler().post("/v1/announcements", this::receive);
  }

  void receive(HttpServerExchange exchange) {
    JsonExchange.handle(exchange, body -> announce(Json.parseObject(body)));
  }

  private CompletableFuture<JsonNode> announce(JsonNode body) {
    Announcement announcement = parse(body);
    log.debug("event=announcement server={}", announcement.getServer().getId());
    return control
        .callIdempotent(
            ControlMethods.ANNOUNCE,
            AnnounceRequest.newBuilder().addAnnouncements(announcement).build(),
            TIMEOUT)
        .thenApply(reply -> Json.object().put("stale", reply.getStaleServersCount() > 0));
  }

  static Announcement parse(JsonNode body) {
    ServerState server =
        new ServerState(
            new ServerId(text(body, "server")),
            number(body, "incarnation", 0, Long.MAX_VALUE),
            new GroupId(text(body, "group")),
            new ZoneName(text(body, "zone")),
            address(body),
            ServerStatus.ACTIVE);
    return Announcement.newBuilder()
        .setServer(StateCodec.serverMessage(server))
        .setLeaving(flag(body, "leaving"))
        .setLeaseMillis(
            body.has("leaseMillis")
                ? (int) number(body, "leaseMillis", 1, Integer.MAX_VALUE)
                : DEFAULT_LEASE_MILLIS)
        .setTerm(body.has("term") ? number(body, "term", 0, Long.MAX_VALUE) : 0)
        .setPrimary(flag(body, "primary"))
        .build();
  }

  private static InetSocketAddress address(JsonNode body) {
    String address = text(body, "address");
    long port = number(body, "port", 1, MAX_PORT);
    // Brackets keep the port apart from the groups of an IPv6 address; names are not resolved.
    String host = address.contains(":") ? "[" + address + "]" : address;
    return Addresses.parse(host + ":" + port)
        .orElseThrow(() -> invalid("address", body, "an IP address"));
  }

  private static String text(JsonNode body, String field) {
    if (!body.path(field).isTextual()) {
      throw invalid(field, body, "a text");
    }
    return body.path(field).asText();
  }

  private static boolean flag(JsonNode body, String field) {
    JsonNode value = body.path(field);
    if (!value.isMissingNode() && !value.isBoolean()) {
      throw invalid(field, body, "true or false");
    }
    return value.asBoolean(false);
  }

  private static long number(JsonNode body, String field, long min, long max) {
    JsonNode value = body.path(field);
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.asLong() < min
        || value.asLong() > max) {
      throw invalid(field, body, "a whole number from " + min + " to " + max);
    }
    return value.asLong();
  }

  private static AlderyardException invalid(String field, JsonNode body, String accepted) {
    return AlderyardException.notRun(
        ErrorCode.BAD_REQUEST,
        "field "
            + field
            + " is '"
            + LogText.sanitize(body.path(field).asText(), MAX_QUOTED_CHARS)
            + "'; accepted: "
            + accepted);
  }
}
