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
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
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

  private static Announcement parse(JsonNode body) {
    ServerState server =
        new ServerState(
            new ServerId(body.path("server").asText()),
            body.path("incarnation").asLong(),
            new GroupId(body.path("group").asText()),
            new ZoneName(body.path("zone").asText()),
            address(body),
            ServerStatus.ACTIVE);
    return Announcement.newBuilder()
        .setServer(StateCodec.serverMessage(server))
        .setLeaving(body.path("leaving").asBoolean())
        .setLeaseMillis(body.path("leaseMillis").asInt(DEFAULT_LEASE_MILLIS))
        .setTerm(body.path("term").asLong())
        .setPrimary(body.path("primary").asBoolean())
        .build();
  }

  private static InetSocketAddress address(JsonNode body) {
    String address = body.path("address").asText();
    int port = body.path("port").asInt();
    if (!address.matches("[0-9a-fA-F.:]+") || port < 1 || port > 65_535) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          "address is '" + address + "' and port " + port + "; accepted: IP address, 1 to 65535");
    }
    return new InetSocketAddress(address, port);
  }
}
