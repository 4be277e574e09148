package org.alderyard.daemon;

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
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.testkit.net.FreePorts;
import org.alderyard.testkit.standin.StandInOptions;
import org.alderyard.testkit.standin.StandInServer;

/** Daemons and one group of stand-in backend servers, all running inside the test process. */
final class TestCluster implements AutoCloseable {
  static final String OPERATOR_KEY = "operator-secret";
  private static final int ATTEMPTS = 200;
  private static final long RETRY_DELAY_MILLIS = 50;

  private final Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<AutoCloseable> resources = new ArrayList<>();
  private final List<Daemon> daemons = new ArrayList<>();
  final List<DaemonSettings> hosts = new ArrayList<>();
  final List<StandInServer> servers = new ArrayList<>();

  TestCluster(Path folder) throws IOException {
    this.folder = folder;
    Files.writeString(folder.resolve("cluster.key"), "a secret of the whole cluster");
    Files.writeString(folder.resolve("operator.key"), OPERATOR_KEY);
  }

  /** Starts a host. The first host is the control host. */
  void startHost(String id) throws IOException {
    startHost(id, "");
  }

  /** Starts a host with additional lines in its proxy section. */
  void startHost(String id, String proxyLines) throws IOException {
    int innerPort = FreePorts.next();
    boolean isControlHost = hosts.isEmpty();
    InetSocketAddress control =
        isControlHost ? new InetSocketAddress("127.0.0.1", innerPort) : hosts.get(0).innerAddress();
    String text =
        """
        [host]
        id = %s
        zone = zone-a
        cluster-id = test
        roles = %s
        [network]
        caller-address = 127.0.0.1:%d
        inner-address = 127.0.0.1:%d
        operator-address = 127.0.0.1:%d
        [control]
        hosts = 127.0.0.1:%d
        [keys]
        cluster-key-file = %s
        operator-key-file = %s
        [proxy]
        drain-linger = 200ms
        %s
        """
            .formatted(
                id,
                isControlHost ? "proxy,control" : "proxy",
                FreePorts.next(),
                innerPort,
                FreePorts.next(),
                control.getPort(),
                folder.resolve("cluster.key"),
                folder.resolve("operator.key"),
                proxyLines);
    Path file = folder.resolve(id + ".ini");
    Files.writeString(file, text);
    DaemonSettings settings = DaemonSettings.read(file);
    hosts.add(settings);
    Daemon daemon = new Daemon(settings);
    daemons.add(daemon);
    resources.add(daemon);
  }

  /** Stops a host and waits until it has stopped. */
  void stopHost(int host) {
    daemons.get(host).close();
  }

  /** Starts a primary and two replicas that announce themselves to the host started last. */
  void startGroup(String group) throws IOException {
    startGroup(group, false);
  }

  /** Starts a primary and two replicas, with or without a request ledger on the servers. */
  void startGroup(String group, boolean ledger) throws IOException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int number = 1; number <= 3; number++) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.next());
      addresses.add(address);
      StandInServer server =
          new StandInServer(
              new StandInOptions(
                  new ServerId(group + "-" + number),
                  1,
                  new GroupId(group),
                  new ZoneName("zone-a"),
                  address,
                  Optional.empty(),
                  5,
                  64,
                  number == 1,
                  number == 1 ? Optional.empty() : Optional.of(addresses.get(0)),
                  ledger,
                  Optional.empty(),
                  List.of(hosts.get(hosts.size() - 1).callerAddress()),
                  1_500));
      servers.add(server);
      resources.add(server);
    }
  }

  HttpResponse<String> putTicket(int host, long number, String body) throws Exception {
    return operator(host, "PUT", "/v1/tickets/" + number, body);
  }

  HttpResponse<String> operator(int host, String method, String path, String body)
      throws Exception {
    return http.send(
        HttpRequest.newBuilder(uri(hosts.get(host).operatorAddress().orElseThrow(), path))
            .header("Authorization", "Bearer " + OPERATOR_KEY)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /** Repeats an operator request until the response contains the text. */
  void awaitOperator(int host, String path, String text) throws Exception {
    HttpResponse<String> lastResponse = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      lastResponse = operator(host, "GET", path, "");
      if (lastResponse.body().contains(text)) {
        return;
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    throw new AssertionError(
        "the response never contains "
            + text
            + ": "
            + lastResponse.statusCode()
            + " "
            + lastResponse.body());
  }

  /** Repeats the readiness check of the load balancer until it returns the status. */
  void awaitReady(int host, int status) throws Exception {
    var request = HttpRequest.newBuilder(uri(hosts.get(host).callerAddress(), "/ready")).build();
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == status) {
        return;
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    throw new AssertionError("/ready is never " + status);
  }

  /** Closes the host or server that was started last. */
  void closeLastStarted() throws Exception {
    resources.remove(resources.size() - 1).close();
  }

  HttpResponse<String> statement(int host, String pool, Optional<String> token, String body)
      throws Exception {
    return post(host, "/v1/pools/" + pool + "/statements", token, body);
  }

  /** Sends a caller's request. */
  HttpResponse<String> post(int host, String path, Optional<String> token, String body)
      throws Exception {
    var request =
        HttpRequest.newBuilder(uri(hosts.get(host).callerAddress(), path))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    token.ifPresent(value -> request.header("Alderyard-Session", value));
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Repeats a statement until it succeeds with status 200, because the cluster takes a moment to
   * form.
   */
  HttpResponse<String> awaitStatement(int host, String pool, String body) throws Exception {
    return awaitStatementResult(host, pool, body, "");
  }

  /** Repeats a statement until the response has status 200 and contains the text. */
  HttpResponse<String> awaitStatementResult(int host, String pool, String body, String text)
      throws Exception {
    HttpResponse<String> lastResponse = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      lastResponse = statement(host, pool, Optional.empty(), body);
      if (lastResponse.statusCode() == 200 && lastResponse.body().contains(text)) {
        return lastResponse;
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    throw new AssertionError("not ready: " + lastResponse.statusCode() + " " + lastResponse.body());
  }

  HttpResponse<String> get(int host, String path) throws Exception {
    return http.send(
        HttpRequest.newBuilder(uri(hosts.get(host).callerAddress(), path)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private static URI uri(InetSocketAddress address, String path) {
    return URI.create("http://127.0.0.1:" + address.getPort() + path);
  }

  @Override
  public void close() throws Exception {
    for (int i = resources.size() - 1; i >= 0; i--) {
      resources.get(i).close();
    }
  }
}
