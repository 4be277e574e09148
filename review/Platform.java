import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The provider's promotion call, the servers' pings and the operator, as PROTOCOL.md has them. */
final class Platform implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  /** The operator waits for longer than a second if bodies are large. */
  private static final Duration LARGE_CALL_TIMEOUT = Duration.ofSeconds(2);

  private final DatabaseGroup group;
  private final RunRecord record;
  private final HttpServer promotions;
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
  private final AtomicLong sequence = new AtomicLong();
  // Guarded by this.
  private final Map<String, Long> highestTokens = new HashMap<>();
  private List<String> controlAddresses = List.of();

  Platform(DatabaseGroup group, RunRecord record) throws IOException {
    this.group = group;
    this.record = record;
    InetSocketAddress address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
    promotions = HttpServer.create(address, 16);
    promotions.createContext("/promotion", this::promote);
    promotions.setExecutor(timers);
    promotions.start();
    group.onRoleChange(this::heartbeatNow);
  }

  String promotionAddress() {
    return "127.0.0.1:" + promotions.getAddress().getPort();
  }

  /** Starts the pings of all servers. */
  void start(List<String> controls) {
    controlAddresses = List.copyOf(controls);
    timers.scheduleWithFixedDelay(
        this::heartbeats, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  void heartbeatNow() {
    timers.execute(this::heartbeats);
  }

  private void promote(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes());
    long token =
        Long.parseLong(exchange.getRequestHeaders().getFirst("X-Alderyard-Fencing-Token"));
    String holder = exchange.getRequestHeaders().getFirst("X-Alderyard-Duty-Holder");
    String service = field(body, "service");
    String server = field(body, "id");
    boolean accepted = service.equals(group.service) && isCurrent(service, token);
    accepted = accepted && group.promote(server);
    record.say("promotion-call", server, "by", holder, "token", token, "accepted", accepted);
    exchange.sendResponseHeaders(accepted ? 200 : 409, -1);
    exchange.close();
  }

  /** Returns whether a token is not below one that was seen before for the service. */
  private synchronized boolean isCurrent(String service, long token) {
    return highestTokens.merge(service, token, Math::max) == token;
  }

  private static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  private void heartbeats() {
    for (DatabaseServer server : group.servers()) {
      if (server.running() && !server.partitioned()) {
        post("/api/Instances.Heartbeat/" + server.id, heartbeat(server), CALL_TIMEOUT);
      }
    }
  }

  private String heartbeat(DatabaseServer server) {
    return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
            + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"db_role\":\"%s\","
            + "\"seq_no\":%d,\"born\":%d}")
        .formatted(
            group.service,
            server.address(),
            server.zone,
            group.slots,
            server.draining() ? "draining" : "ready",
            server.seesItselfLeading() ? "primary" : "replica",
            sequence.incrementAndGet(),
            server.born);
  }

  /** Sends a body to one control address after the other until one accepts it. */
  private boolean post(String path, String body, Duration timeout) {
    for (int i = 0; i < controlAddresses.size(); i++) {
      int next = (int) ((sequence.get() + i) % controlAddresses.size());
      try {
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://" + controlAddresses.get(next) + path))
                .timeout(timeout)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() == 200) {
          return true;
        }
      } catch (IOException unreachable) {
        // The next address is tried.
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return false;
  }

  /**
   * Sends a configuration until a host accepts it.
   *
   * @param routes the JSON objects of the routes
   */
  boolean configure(long version, List<String> routes, long deadlineMillis)
      throws InterruptedException {
    String body = configuration(version, routes);
    while (record.nowMillis() < deadlineMillis) {
      if (post("/api/Config.Replace", body, LARGE_CALL_TIMEOUT)) {
        record.add("operator", "configuration", version, "acknowledged", body.length(), "bytes");
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** Returns the version that a control address reads back; 0 if it gives none. */
  long fetchVersion(String control) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + control + "/api/Config.Fetch"))
              .timeout(LARGE_CALL_TIMEOUT)
              .build();
      HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
      Matcher version = Pattern.compile("\"version\"\\s*:\\s*(\\d+)").matcher(answer.body());
      return answer.statusCode() == 200 && version.find() ? Long.parseLong(version.group(1)) : 0;
    } catch (IOException unreachable) {
      return 0;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private String configuration(long version, List<String> routes) {
    return ("{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"%s\","
                + "\"health_path\":\"/health\","
                + "\"max_connections\":%d,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":%d}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}")
            .formatted(
                version,
                String.join(",", routes),
                group.service,
                group.maxConnections,
                group.syncReplicas);
  }

  static String route(String database, String kind, String service, String more) {
    return ("{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"/\",\"route_type\":\"%s\","
            + "\"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":1,\"service\":\"%s\","
            + "\"max_attempts\":2%s}")
        .formatted(database, database, kind, service, more);
  }

  @Override
  public void close() {
    promotions.stop(0);
    timers.shutdownNow();
  }
}
