import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: hosts of the deploy file, one service, its servers'
 * pings, the provider's service for promotions and the operator.
 */
final class Bed implements AutoCloseable {
  static final String DATABASE = "lepu270";
  static final String SERVICE = "huvo11a";
  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final int CONNECTIONS = 40;
  private static final int SETUP_MILLIS = 30_000;

  private final Path folder;
  private final Record record;
  private final DbGroup group;
  private final Appointer appointer;
  private final List<HostProcess> hosts = new ArrayList<>();
  private final Map<String, Integer> ports = new HashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong version = new AtomicLong(6);
  private final int syncReplicas;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final ExecutorService senders =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "sender");
            thread.setDaemon(true);
            return thread;
          });
  private volatile boolean closed;

  Bed(Path root, Record record, int syncReplicas, int hostCount, Appointer.Handler handler)
      throws IOException {
    this.record = record;
    this.syncReplicas = syncReplicas;
    folder = Files.createTempDirectory("alderyard-review");
    group = new DbGroup(SERVICE, syncReplicas, record);
    appointer = new Appointer(handler);
    for (String name : List.of("front", "ready", "control")) {
      ports.put(name, freePort(hostCount));
    }
    int internal = freePort(hostCount);
    ports.put("internal_ports.0", internal);
    ports.put("internal_ports.1", freePort(hostCount));
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < Math.min(3, hostCount); i++) {
      seeds.add(ip(i) + ":" + ports.get("control"));
    }
    for (int i = 0; i < hostCount; i++) {
      hosts.add(host(root, i, String.join(",", seeds)));
    }
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> hosts.forEach(HostProcess::end), "end-hosts"));
  }

  private static String ip(int host) {
    return "127.0.0." + (host + 11);
  }

  /** Returns a port that is free on the addresses of all hosts. */
  private int freePort(int hostCount) throws IOException {
    while (true) {
      int port = 12_000 + (int) (Math.random() * 18_000);
      boolean free = !ports.containsValue(port);
      for (int i = 0; i < hostCount && free; i++) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip(i)))) {
          free = probe.isBound();
        } catch (IOException used) {
          free = false;
        }
      }
      if (free) {
        return port;
      }
    }
  }

  private HostProcess host(Path root, int i, String seeds) throws IOException {
    // The first three hosts have a zone each; a fourth one is beside the first.
    String zone = "z" + i % 3;
    String name = "front-" + zone + "-" + (i / 3 + 1);
    Map<String, String> values = new HashMap<>();
    values.put("node_name", name);
    values.put("zone", zone);
    values.put("ip", ip(i));
    values.put("bind_addrs.front", ip(i) + ":" + ports.get("front"));
    values.put("bind_addrs.ready", ip(i) + ":" + ports.get("ready"));
    values.put("bind_addrs.control", ip(i) + ":" + ports.get("control"));
    values.put("internal_ports.0", Integer.toString(ports.get("internal_ports.0")));
    values.put("internal_ports.1", Integer.toString(ports.get("internal_ports.1")));
    values.put("cloud_api.address", "127.0.0.1:" + appointer.port());
    values.put("bounds.grace_s", "6");
    values.put("seeds", seeds);
    values.put("bootstrap", "true");
    values.put("fault_tolerance.machines", "1");
    Path data = folder.resolve("data-" + i);
    Files.createDirectories(data);
    values.put("data_dir", data.toString());
    return new HostProcess(name, ip(i), root, folder, values);
  }

  DbGroup group() {
    return group;
  }

  List<HostProcess> hosts() {
    return hosts;
  }

  HostProcess host(String name) {
    return hosts.stream().filter(host -> host.name().equals(name)).findFirst().orElseThrow();
  }

  InetSocketAddress front(HostProcess host) {
    return new InetSocketAddress(host.ip(), ports.get("front"));
  }

  /** Starts all hosts; see {@link #start(int)}. */
  void start() throws IOException, InterruptedException {
    start(hosts.size());
  }

  /**
   * Starts the first hosts and the pings, sends the configuration and waits until each of these
   * hosts serves writes. Hosts that start later have {@code bootstrap} false.
   */
  void start(int count) throws IOException, InterruptedException {
    List<HostProcess> started = hosts.subList(0, count);
    for (HostProcess host : started) {
      host.start();
    }
    hosts.forEach(HostProcess::setNotFirstStart);
    Thread pings = new Thread(this::sendHeartbeats, "heartbeats");
    pings.setDaemon(true);
    pings.start();
    long end = System.nanoTime() + SETUP_MILLIS * 1_000_000L;
    configure();
    for (HostProcess host : started) {
      while (!writes(host)) {
        if (System.nanoTime() > end) {
          throw new IOException("no write succeeds at " + host.name());
        }
        Thread.sleep(200);
      }
    }
    record.add("the system serves writes at all %d hosts", count);
  }

  /** Sends a new configuration until it is acknowledged; returns its version. */
  long configure() throws IOException, InterruptedException {
    long number = version.incrementAndGet();
    String body = configuration(number);
    long end = System.nanoTime() + SETUP_MILLIS * 1_000_000L;
    for (int i = 0; System.nanoTime() < end; i++) {
      HostProcess host = hosts.get(i % hosts.size());
      int status = host.isAlive() ? post(host, "/api/Config.Replace", body) : 0;
      if (status == 200) {
        record.add("%s acknowledged configuration %d", host.name(), number);
        return number;
      }
      Thread.sleep(200);
    }
    throw new IOException("configuration " + number + " is not acknowledged");
  }

  /** Reads the configuration at a host as the operator; returns its version, or 0 without a 200. */
  long readVersion(HostProcess host) {
    URI uri = URI.create("http://" + host.ip() + ":" + ports.get("control") + "/api/Config.Fetch");
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
    try {
      HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
      Matcher found = Pattern.compile("\"version\":(\\d+)").matcher(answer.body());
      boolean read = answer.statusCode() == 200 && found.find();
      record.add(
          "%s answered a read of the configuration with %d, version %s",
          host.name(), answer.statusCode(), read ? found.group(1) : "none");
      return read ? Long.parseLong(found.group(1)) : 0;
    } catch (IOException failed) {
      record.add("%s gave no answer to a read: %s", host.name(), failed.getMessage());
      return 0;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private boolean writes(HostProcess host) {
    try (Caller caller = new Caller(front(host), DATABASE, 2_000)) {
      return caller.run(Caller.nextId(), "WRITE a0 warmup").succeeded();
    } catch (IOException refused) {
      return false;
    }
  }

  private String configuration(long number) {
    return """
        {"version":%d,"routes":[{"name":"r-n2ctnfz","host":"%s","path_prefix":"/",\
        "route_type":"primary","timeout_ms":800,"target_latency_ms":100,"priority":1,\
        "service":"%s","max_attempts":2}],"services":[{"name":"%s","health_path":"/health",\
        "max_connections":%d,"protocol":"h1","tls":false,"sync_replicas":%d}],\
        "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,\
        "idle_timeout_ms":15000,"tx_idle_ms":3000}}"""
        .formatted(number, DATABASE, SERVICE, SERVICE, CONNECTIONS, syncReplicas);
  }

  private void sendHeartbeats() {
    try {
      while (!closed) {
        pingAll();
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (InterruptedException ended) {
      // The bed is closed.
    }
  }

  /** Sends a ping of each running server, as after a change of its role. */
  void pingAll() {
    for (DbServer server : group.servers()) {
      if (server.isRunning()) {
        senders.execute(() -> ping(server));
      }
    }
  }

  private void ping(DbServer server) {
    String body =
        """
        {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":5,\
        "state":"ready","cold_remaining_ms":0,"db_role":"%s","seq_no":%d,"born":%d}"""
            .formatted(
                SERVICE,
                server.port(),
                server.zone(),
                group.isPrimary(server) ? "primary" : "replica",
                sequence.incrementAndGet(),
                server.bornMillis());
    for (int i = 0; i < hosts.size(); i++) {
      HostProcess host = hosts.get((int) ((sequence.get() + i) % hosts.size()));
      if (post(host, "/api/Instances.Heartbeat/" + server.id(), body) / 100 == 2) {
        return;
      }
    }
  }

  private int post(HostProcess host, String path, String body) {
    URI uri = URI.create("http://" + host.ip() + ":" + ports.get("control") + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(Duration.ofSeconds(1))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException failed) {
      return 0;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  /** Returns the status of the balancer's question to a host, or 0 without an answer. */
  int readiness(HostProcess host) {
    URI uri = URI.create("http://" + host.ip() + ":" + ports.get("ready") + "/api/readiness");
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException failed) {
      return 0;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  /** Ends all processes and removes the folder. */
  @Override
  public void close() {
    closed = true;
    hosts.forEach(HostProcess::end);
    appointer.close();
    senders.shutdownNow();
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException ignored) {
      // A temporary folder that stays harms nothing.
    }
  }
}
