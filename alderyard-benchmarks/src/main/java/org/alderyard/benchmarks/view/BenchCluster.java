package org.alderyard.benchmarks.view;

import static java.util.stream.Collectors.joining;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.http.Json;
import org.alderyard.testkit.net.FreePorts;

/** Cluster of daemon processes on this machine; the first processes are the control hosts. */
final class BenchCluster implements AutoCloseable {
  static final String CLUSTER_ID = "bench";
  static final String CLUSTER_KEY = "a secret of the whole cluster";
  private static final String OPERATOR_KEY = "operator-secret";
  private static final int HEAP_MIB = 96;
  private static final int START_ATTEMPTS = 600;
  private static final int POLL_INTERVAL_MILLIS = 50;

  private final Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<DaemonProcess> processes = new ArrayList<>();
  private final List<Integer> operatorPorts = new ArrayList<>();
  private final List<Path> settings = new ArrayList<>();
  private final List<Integer> controlPorts = new ArrayList<>();

  /**
   * Creates a cluster without running hosts. Several control hosts store a synced log in data
   * folders; a single control host keeps the log in memory.
   */
  BenchCluster(Path folder, int controlHosts) throws IOException {
    this.folder = folder;
    for (int host = 0; host < controlHosts; host++) {
      controlPorts.add(FreePorts.next());
    }
    Files.writeString(folder.resolve("cluster.key"), CLUSTER_KEY);
    Files.writeString(folder.resolve("operator.key"), OPERATOR_KEY);
  }

  DaemonProcess control() {
    return processes.get(0);
  }

  InetSocketAddress controlAddress() {
    return new InetSocketAddress("127.0.0.1", controlPorts.get(0));
  }

  /** Starts the next host with newly allocated ports. */
  void start() throws IOException {
    int number = processes.size();
    boolean control = number < controlPorts.size();
    boolean stored = control && controlPorts.size() > 1;
    String id = "h" + (number + 1);
    int operator = FreePorts.next();
    String dataFolder =
        stored ? "data-folder = " + Files.createDirectories(folder.resolve(id + "-data")) : "";
    String text =
        """
        [host]
        id = %s
        zone = zone-a
        cluster-id = %s
        roles = %s
        [network]
        caller-address = 127.0.0.1:%d
        inner-address = 127.0.0.1:%d
        operator-address = 127.0.0.1:%d
        [control]
        hosts = %s
        %s
        [keys]
        cluster-key-file = %s
        operator-key-file = %s
        """
            .formatted(
                id,
                CLUSTER_ID,
                control ? "proxy,control" : "proxy",
                FreePorts.next(),
                control ? controlPorts.get(number) : FreePorts.next(),
                operator,
                controlPorts.stream().map(port -> "127.0.0.1:" + port).collect(joining(",")),
                dataFolder,
                folder.resolve("cluster.key"),
                folder.resolve("operator.key"));
    Path file = folder.resolve(id + ".ini");
    Files.writeString(file, text);
    processes.add(DaemonProcess.start(file, HEAP_MIB));
    operatorPorts.add(operator);
    settings.add(file);
  }

  /** Returns the index of the leader. */
  int leader() throws IOException, InterruptedException {
    String name = get(0, "/v1/status").path("leader").asText();
    return Integer.parseInt(name.substring(1)) - 1;
  }

  void kill(int host) {
    processes.get(host).kill();
  }

  void restart(int host) throws IOException {
    processes.set(host, DaemonProcess.start(settings.get(host), HEAP_MIB));
  }

  JsonNode get(int host, String path) throws IOException, InterruptedException {
    return send(request(host, path).GET().build());
  }

  JsonNode put(int host, String path, String body) throws IOException, InterruptedException {
    return send(request(host, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  private HttpRequest.Builder request(int host, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + operatorPorts.get(host) + path))
        .header("Authorization", "Bearer " + OPERATOR_KEY);
  }

  private JsonNode send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IOException(response.statusCode() + " " + response.body());
    }
    return Json.parseObject(response.body().getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Blocks until at least the given number of hosts run the newest view.
   *
   * @throws IllegalStateException if the hosts do not reach the view in time
   */
  void awaitHosts(int count) throws InterruptedException {
    for (int attempt = 0; attempt < START_ATTEMPTS; attempt++) {
      try {
        if (get(0, "/v1/status").path("hostsCurrent").asInt() >= count) {
          return;
        }
      } catch (IOException unavailable) {
        // The process is still starting.
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    throw new IllegalStateException(
        "hosts did not reach the newest view in time; see the logs in " + folder);
  }

  /** Submits a ticket that changes one group. */
  JsonNode submit(int host, long number) throws IOException, InterruptedException {
    String body =
        "{\"objects\":[{\"kind\":\"group\",\"id\":\"g1\",\"slotsPerServer\":"
            + (1 + number % 30)
            + "}]}";
    return put(host, "/v1/tickets/" + number, body);
  }

  @Override
  public void close() {
    processes.forEach(DaemonProcess::close);
  }
}
