import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A small deployment: hosts, one service with its servers, the platform and the operator. */
final class Deployment implements AutoCloseable {
  static final String SERVICE = "svc1";
  /** The host of the route for reads and writes on the primary. */
  static final String DATABASE = "db1";

  /** The host of the route for reads with bounded staleness. */
  static final String BOUNDED_DATABASE = "db2";

  private static final int BOUNDED_TIMEOUT_MILLIS = 3_000;

  /** What one scenario needs. */
  record Plan(
      int controls,
      int others,
      int subnet,
      int syncReplicas,
      int workMillis,
      int timeoutMillis,
      long promoteMillis) {}

  final Record record;
  final Hosts hosts;
  final DatabaseGroup group;
  final Cloud cloud;
  private final Plan plan;
  private final List<DatabaseServer> servers = new ArrayList<>();
  private final List<InetSocketAddress> controls = new ArrayList<>();
  private final DatabaseServer.Arrivals arrivals;

  Deployment(Path root, Record record, Plan plan, DatabaseServer.Arrivals arrivals)
      throws IOException {
    this.record = record;
    this.plan = plan;
    this.arrivals = arrivals;
    hosts = new Hosts(root, record, plan.controls(), plan.others(), plan.subnet());
    group = new DatabaseGroup(SERVICE, plan.syncReplicas(), record);
    cloud =
        new Cloud(
            hosts.cloud(), record, plan.promoteMillis(), (service, server) -> promote(server));
    hosts.all().stream()
        .filter(host -> host.control)
        .forEach(host -> controls.add(hosts.control(host)));
  }

  private void promote(String server) {
    beforePromotion.accept(server);
    group.promote(server);
  }

  /** Is called right before a server leads the next term. */
  Consumer<String> beforePromotion = server -> {};

  /** Starts hosts and the first servers, and sends the configuration until it is confirmed. */
  void start(int replicas) throws IOException, NoSetupException {
    hosts.startAll();
    await("a host that is ready for the operator", 40_000, this::configure);
    for (int i = 1; i <= replicas + 1; i++) {
      addServer("i-" + i, i == 1);
    }
    await(
        "readiness of all hosts",
        30_000,
        () ->
            hosts.all().stream().allMatch(host -> isReady(host)));
    await(
        "confirmed heartbeats",
        10_000,
        () -> servers.stream().allMatch(server -> server.firstConfirmedMillis() >= 0));
  }

  private boolean isReady(Hosts.Host host) {
    return Http.status(hosts.ready(host), "/api/readiness", Optional.empty()) == 200;
  }

  /** The scenario could not be set up, so that it has no result. */
  static final class NoSetupException extends Exception {
    private static final long serialVersionUID = 1L;

    NoSetupException(String reason) {
      super(reason);
    }
  }

  static void await(String what, long millis, BooleanSupplier condition) throws NoSetupException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new NoSetupException("no " + what + " within " + millis + " ms");
      }
      sleep(50);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts a server; a replica receives the log of the primary from then on. */
  DatabaseServer addServer(String id, boolean primary) throws IOException {
    int number = servers.size();
    String zone = "zone-" + (char) ('a' + number % 3);
    String cloud = hosts.cloud().getAddress().getHostAddress();
    String ip = cloud.replaceAll("\\d+$", "" + (101 + number));
    DatabaseServer.Start start =
        primary ? DatabaseServer.Start.PRIMARY : DatabaseServer.Start.REPLICA;
    return add(id, start, zone, ip, 0);
  }

  /** Starts a server at the address of one that has ended. */
  DatabaseServer addServerAt(DatabaseServer ended, String id, DatabaseServer.Start start)
      throws IOException {
    InetSocketAddress address = ended.address();
    return add(id, start, ended.zone(), address.getAddress().getHostAddress(), address.getPort());
  }

  private DatabaseServer add(
      String id, DatabaseServer.Start start, String zone, String ip, int port) throws IOException {
    DatabaseServer server =
        new DatabaseServer(
            id, group, start, zone, ip, port, plan.workMillis(), controls, record, arrivals);
    servers.add(server);
    return server;
  }

  /** Returns the last started server with this id. */
  DatabaseServer server(String id) {
    return servers.stream()
        .filter(server -> server.id.equals(id))
        .reduce((first, last) -> last)
        .orElseThrow();
  }

  private boolean configure() {
    String body =
        ("{\"version\":1,\"routes\":[%s,%s],\"services\":[{\"name\":\"%s\","
                + "\"health_path\":\"/health\",\"max_connections\":34,\"protocol\":\"h1\","
                + "\"tls\":false,\"sync_replicas\":%d}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}")
            .formatted(
                route(DATABASE, "primary", plan.timeoutMillis(), 200, ""),
                route(
                    BOUNDED_DATABASE,
                    "bounded_staleness",
                    BOUNDED_TIMEOUT_MILLIS,
                    800,
                    ",\"max_staleness_ms\":1500"),
                SERVICE,
                plan.syncReplicas());
    Optional<InetSocketAddress> confirmed = Http.post(controls, "/api/Config.Replace", body);
    confirmed.ifPresent(host -> record.line("configuration 1 confirmed by %s", host));
    return confirmed.isPresent();
  }

  private static String route(
      String host, String kind, int timeoutMillis, int targetMillis, String further) {
    return ("{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"/\",\"route_type\":\"%s\","
            + "\"timeout_ms\":%d,\"target_latency_ms\":%d,\"priority\":1,\"service\":\"%s\","
            + "\"max_attempts\":2%s}")
        .formatted(host, host, kind, timeoutMillis, targetMillis, SERVICE, further);
  }

  @Override
  public void close() throws IOException {
    hosts.close();
    for (DatabaseServer server : servers) {
      server.close();
    }
    cloud.close();
  }
}
