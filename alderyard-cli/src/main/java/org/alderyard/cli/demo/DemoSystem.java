package org.alderyard.cli.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
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
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.daemon.DaemonMain;
import org.alderyard.testkit.standin.StandInMain;

/** The hosts and stand-in servers of the demonstration. */
final class DemoSystem implements AutoCloseable {
  static final List<String> GROUPS = List.of("group-1", "group-2", "group-3");
  static final List<String> POOLS = List.of("listings-db", "ledger-new");

  private static final int CONTROL_HOSTS = 3;
  private static final int HOSTS = 5;
  private static final int SERVERS_PER_GROUP = 3;
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final String OPERATOR_KEY = "demo-operator-key";
  private static final String APPLY_LAG_MILLIS = "50";
  private static final int WARM_UP_KEYS = 12;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration POLL = Duration.ofMillis(100);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

  private final Path folder;
  private final ProcessSet processes;
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
  private final List<InetSocketAddress> callerPorts = new ArrayList<>();
  private final List<InetSocketAddress> innerPorts = new ArrayList<>();
  private final List<InetSocketAddress> operatorPorts = new ArrayList<>();

  DemoSystem(Path folder) {
    this.folder = folder;
    processes = new ProcessSet(folder);
    for (int host = 0; host < HOSTS; host++) {
      callerPorts.add(freePort());
      innerPorts.add(freePort());
      operatorPorts.add(freePort());
    }
  }

  private static InetSocketAddress freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    } catch (IOException none) {
      throw new UncheckedIOException(none);
    }
  }

  /** Starts everything and returns once every pool takes statements. */
  void start() throws IOException {
    Files.writeString(folder.resolve("cluster.key"), "demo-cluster-key-0123456789");
    Files.writeString(folder.resolve("operator.key"), OPERATOR_KEY);
    for (int host = 0; host < HOSTS; host++) {
      startHost(host);
    }
    GROUPS.forEach(this::startGroup);
    awaitAnswer("the hosts", () -> callerPorts.stream().allMatch(this::ready));
    putTicket(1, Files.readString(writeTicket()));
    awaitAnswer("the primaries", this::everyGroupHasPrimary);
    awaitAnswer("writes through every proxy", () -> callerPorts.stream().allMatch(this::writes));
  }

  /** Returns whether a proxy writes to every group; the keys of the warm-up are used no more. */
  private boolean writes(InetSocketAddress callerPort) {
    for (int key = 0; key < WARM_UP_KEYS; key++) {
      String body =
          "{\"key\":\"warm-up-%d\",\"kind\":\"write\",\"statement\":\"put\",\"parameters\":[1]}"
              .formatted(key);
      HttpRequest write =
          request(callerPort, "/v1/pools/" + POOLS.get(0) + "/statements")
              .POST(HttpRequest.BodyPublishers.ofString(body))
              .build();
      if (!succeeds(write)) {
        return false;
      }
    }
    return true;
  }

  private boolean succeeds(HttpRequest request) {
    try {
      return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException lost) {
      return false;
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void startHost(int host) throws IOException {
    boolean control = host < CONTROL_HOSTS;
    Path data = Files.createDirectories(folder.resolve("host-" + (host + 1) + "-data"));
    String hosts =
        innerPorts.stream()
            .limit(CONTROL_HOSTS)
            .map(DemoSystem::text)
            .collect(Collectors.joining(","));
    String settings =
        """
        [host]
        id = host-%d
        zone = %s
        cluster-id = demo
        roles = %s
        [network]
        caller-address = %s
        inner-address = %s
        operator-address = %s
        [control]
        hosts = %s
        %s
        [keys]
        cluster-key-file = %s
        operator-key-file = %s
        """
            .formatted(
                host + 1,
                ZONES.get(host % ZONES.size()),
                control ? "control,proxy" : "proxy",
                text(callerPorts.get(host)),
                text(innerPorts.get(host)),
                text(operatorPorts.get(host)),
                hosts,
                control ? "data-folder = " + data : "",
                folder.resolve("cluster.key"),
                folder.resolve("operator.key"));
    Path file = folder.resolve("host-" + (host + 1) + ".ini");
    Files.writeString(file, settings);
    processes.start(
        "host-" + (host + 1), "128m", DaemonMain.class, List.of("--settings", file.toString()));
  }

  private void startGroup(String group) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    String entryHosts = callerPorts.stream().map(DemoSystem::text).collect(Collectors.joining(","));
    for (int number = 0; number < SERVERS_PER_GROUP; number++) {
      addresses.add(freePort());
      List<String> arguments = new ArrayList<>();
      arguments.addAll(List.of("--server", group + "-" + (number + 1)));
      arguments.addAll(List.of("--group", group));
      arguments.addAll(List.of("--zone", ZONES.get(number)));
      arguments.addAll(List.of("--listen", text(addresses.get(number))));
      arguments.addAll(List.of("--entry-hosts", entryHosts));
      arguments.addAll(List.of("--apply-lag-millis", APPLY_LAG_MILLIS));
      arguments.addAll(
          number == 0 ? List.of("--primary") : List.of("--follow", text(addresses.get(0))));
      processes.start(group + "-" + (number + 1), "64m", StandInMain.class, arguments);
    }
  }

  private Path writeTicket() throws IOException {
    StringBuilder objects = new StringBuilder();
    for (String group : GROUPS) {
      objects.append("{\"kind\":\"group\",\"id\":\"").append(group).append("\"},");
    }
    String names = GROUPS.stream().map(g -> '"' + g + '"').collect(Collectors.joining(","));
    for (String pool : POOLS) {
      objects
          .append("{\"kind\":\"pool\",\"name\":\"")
          .append(pool)
          .append("\",\"groups\":[")
          .append(names)
          .append("]},");
    }
    objects.append(
        "{\"kind\":\"keys\",\"keys\":[{\"id\":1,\"secretBase64\":\"ZGVtby10b2tlbi1rZXktMDEyMw==\"}]}");
    return Files.writeString(folder.resolve("ticket-1.json"), "{\"objects\":[" + objects + "]}");
  }

  private boolean ready(InetSocketAddress callerPort) {
    return get(callerPort, "/ready").isPresent();
  }

  private boolean everyGroupHasPrimary() {
    Optional<JsonNode> answer = get(operatorPorts.get(HOSTS - 1), "/v1/groups");
    if (answer.isEmpty() || answer.get().path("groups").size() < GROUPS.size()) {
      return false;
    }
    for (JsonNode group : answer.get().path("groups")) {
      if (group.path("primary").asText("").isEmpty()) {
        return false;
      }
    }
    return true;
  }

  /** Returns the primary of a group, as the last host sees it. */
  Optional<String> primaryOf(String group) {
    Optional<JsonNode> answer = get(operatorPorts.get(HOSTS - 1), "/v1/groups");
    for (JsonNode node : answer.map(body -> body.path("groups")).orElse(Json.object())) {
      if (node.path("id").asText().equals(group)) {
        return Optional.ofNullable(node.path("primary").textValue());
      }
    }
    return Optional.empty();
  }

  /** Returns the primary of a group; a failover that runs at the moment is waited for. */
  String awaitPrimaryOf(String group) {
    awaitAnswer("a primary of " + group, () -> primaryOf(group).isPresent());
    return primaryOf(group).orElse("");
  }

  private Optional<JsonNode> get(InetSocketAddress address, String path) {
    try {
      HttpResponse<byte[]> response =
          http.send(request(address, path).GET().build(), HttpResponse.BodyHandlers.ofByteArray());
      return response.statusCode() == 200
          ? Optional.of(Json.parseObject(response.body()))
          : Optional.empty();
    } catch (IOException notYet) {
      return Optional.empty();
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private void putTicket(long number, String body) {
    HttpRequest put =
        request(operatorPorts.get(0), "/v1/tickets/" + number)
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    // The same ticket can be sent again after a lost answer: its first answer is given again.
    awaitAnswer("the ticket", () -> succeeds(put));
  }

  private static HttpRequest.Builder request(InetSocketAddress address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + text(address) + path))
        .timeout(CALL_TIMEOUT)
        .header("Authorization", "Bearer " + OPERATOR_KEY);
  }

  private void awaitAnswer(String what, java.util.function.BooleanSupplier condition) {
    long polls = START_TIMEOUT.dividedBy(POLL);
    for (long poll = 0; poll < polls; poll++) {
      if (condition.getAsBoolean()) {
        return;
      }
      if (!processes.allAlive()) {
        break;
      }
      LockSupport.parkNanos(POLL.toNanos());
    }
    throw AlderyardException.notRun(
        ErrorCode.DEADLINE_EXCEEDED, "waited for " + what + " in vain; the logs are in " + folder);
  }

  List<InetSocketAddress> callerPorts() {
    return List.copyOf(callerPorts);
  }

  void kill(String name) {
    processes.kill(name);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  @Override
  public void close() {
    processes.close();
  }
}
