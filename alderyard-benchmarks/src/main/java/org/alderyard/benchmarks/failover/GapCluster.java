package org.alderyard.benchmarks.failover;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.daemon.Daemon;
import org.alderyard.daemon.DaemonSettings;
import org.alderyard.testkit.net.FreePorts;

/** Three in-process hosts, one per zone, and groups of three server processes. */
final class GapCluster implements AutoCloseable {
  private static final String[] ZONES = {"quimper", "lorient", "vannes"};
  private static final int RESPONSE_DELAY_MILLIS = 3;

  private final Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<DaemonSettings> hosts = new ArrayList<>();
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<List<ServerProcess>> groups = new ArrayList<>();

  GapCluster(Path folder, int groupCount) throws IOException, InterruptedException {
    this.folder = folder;
    Files.writeString(folder.resolve("cluster.key"), "a secret of the whole cluster");
    Files.writeString(folder.resolve("operator.key"), "operator-secret");
    for (int i = 0; i < ZONES.length; i++) {
      startHost(i);
    }
    for (int group = 0; group < groupCount; group++) {
      groups.add(startGroup(group));
    }
    for (List<ServerProcess> group : groups) {
      for (ServerProcess server : group) {
        server.awaitReady();
      }
    }
    submitTicket(groupCount);
  }

  HttpClient http() {
    return http;
  }

  InetSocketAddress proxy(int number) {
    return hosts.get(number % hosts.size()).callerAddress();
  }

  DaemonSettings controlHost() {
    return hosts.get(0);
  }

  List<ServerProcess> group(int number) {
    return groups.get(number);
  }

  /**
   * Returns the server that reports to be the primary of the highest term; empty if there is none.
   */
  Optional<ServerProcess> primary(int group) {
    long highestTerm = -1;
    Optional<ServerProcess> result = Optional.empty();
    for (ServerProcess server : groups.get(group)) {
      var report = server.report();
      boolean primary = report.isPresent() && report.get().role().name().equals("PRIMARY");
      if (primary && report.get().term() > highestTerm) {
        highestTerm = report.get().term();
        result = Optional.of(server);
      }
    }
    return result;
  }

  /** Returns whether the group has one primary and two replicas, all in the same term. */
  boolean isHealthy(int group) {
    List<String> roles = new ArrayList<>();
    List<Long> terms = new ArrayList<>();
    for (ServerProcess server : groups.get(group)) {
      server
          .report()
          .ifPresent(
              report -> {
                roles.add(report.role().name());
                terms.add(report.term());
              });
    }
    roles.sort(null);
    return roles.equals(List.of("PRIMARY", "REPLICA", "REPLICA"))
        && terms.stream().distinct().count() == 1;
  }

  private void startHost(int number) throws IOException {
    int inner = FreePorts.next();
    int control = hosts.isEmpty() ? inner : hosts.get(0).innerAddress().getPort();
    String text =
        """
        [host]
        id = h%d
        zone = %s
        cluster-id = gap
        roles = %s
        [network]
        caller-address = 127.0.0.1:%d
        inner-address = 127.0.0.1:%d
        operator-address = 127.0.0.1:%d
        [control]
        hosts = 127.0.0.1:%d
        [proxy]
        monitor-interval = 100ms
        routing-log-sample = 1000
        [keys]
        cluster-key-file = %s
        operator-key-file = %s
        """
            .formatted(
                number,
                ZONES[number],
                number == 0 ? "proxy,control" : "proxy",
                FreePorts.next(),
                inner,
                FreePorts.next(),
                control,
                folder.resolve("cluster.key"),
                folder.resolve("operator.key"));
    Path file = folder.resolve("h" + number + ".ini");
    Files.writeString(file, text);
    DaemonSettings settings = DaemonSettings.read(file);
    hosts.add(settings);
    daemons.add(new Daemon(settings));
  }

  private List<ServerProcess> startGroup(int group) throws IOException {
    List<ServerProcess> servers = new ArrayList<>();
    String first = "";
    for (int i = 0; i < ZONES.length; i++) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.next());
      String name = "g" + group + "-" + i;
      String listen = "127.0.0.1:" + address.getPort();
      List<String> arguments =
          new ArrayList<>(List.of("--server", name, "--group", "g" + group, "--zone", ZONES[i]));
      arguments.addAll(List.of("--listen", listen, "--entry-hosts", entryHosts()));
      arguments.addAll(i == 0 ? List.of("--primary") : List.of("--follow", first));
      first = i == 0 ? listen : first;
      ServerProcess server =
          new ServerProcess(http, name, address, arguments, folder, RESPONSE_DELAY_MILLIS);
      server.start();
      servers.add(server);
    }
    return servers;
  }

  private String entryHosts() {
    return String.join(
        ",", hosts.stream().map(host -> "127.0.0.1:" + host.callerAddress().getPort()).toList());
  }

  private void submitTicket(int groupCount) throws IOException, InterruptedException {
    StringBuilder objects = new StringBuilder();
    for (int group = 0; group < groupCount; group++) {
      objects.append("{\"kind\":\"group\",\"id\":\"g%d\"},".formatted(group));
      objects.append(
          "{\"kind\":\"pool\",\"name\":\"p%d\",\"groups\":[\"g%d\"]},".formatted(group, group));
    }
    objects.append(
        "{\"kind\":\"keys\",\"keys\":[{\"id\":1,"
            + "\"secretBase64\":\"MDEyMzQ1Njc4OWFiY2RlZg==\"}]}");
    InetSocketAddress operatorAddress = controlHost().operatorAddress().orElseThrow();
    URI uri = URI.create("http://127.0.0.1:" + operatorAddress.getPort() + "/v1/tickets/1");
    String body = "{\"objects\":[" + objects + "]}";
    var response =
        http.send(
            HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer operator-secret")
                .PUT(HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IllegalStateException("host refused the ticket: " + response.body());
    }
  }

  @Override
  public void close() {
    groups.forEach(group -> group.forEach(ServerProcess::close));
    daemons.forEach(Daemon::close);
  }
}
