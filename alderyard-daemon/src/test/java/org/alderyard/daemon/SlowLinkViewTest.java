package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.alderyard.testkit.net.FreePorts;
import org.alderyard.testkit.net.SlowLink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a host whose link is too slow for a large configuration that was confirmed elsewhere. */
class SlowLinkViewTest {
  /** Time after a confirmation from which no host may act on the configuration before it. */
  private static final long CONFIG_APPLY_MILLIS = 4_000;

  private static final long OBSERVED_MILLIS = 8_000;
  private static final long FAST_BYTES_PER_SECOND = 1_000_000;

  /** Heartbeats pass, while the view takes longer than the test observes the host. */
  private static final long SLOW_BYTES_PER_SECOND = 1_500;

  private static final int ROUTES = 1_400;
  private static final String KEPT = "kept";
  private static final String DROPPED = "dropped";
  private static final String ADDED = "added-1399";

  @TempDir Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final SlowLink link = new SlowLink(FAST_BYTES_PER_SECOND);
  private final int controlInner = FreePorts.next();
  private final int controlOperator = FreePorts.next();
  private final int proxyCallers = FreePorts.next();
  private Daemon control;
  private Daemon proxy;

  @BeforeEach
  void start() throws Exception {
    Files.writeString(folder.resolve("cluster.key"), "0123456789abcdef0123456789abcdef");
    InetSocketAddress overLink = link.fromHost(new InetSocketAddress("127.0.0.1", controlInner));
    control =
        startHost(
            "c", "proxy, control", FreePorts.next(), controlInner, controlOperator, controlInner);
    proxy =
        startHost(
            "p", "proxy", proxyCallers, FreePorts.next(), FreePorts.next(), overLink.getPort());
    control.whenOperatorPortsOpen().get(60, TimeUnit.SECONDS);
    proxy.whenOperatorPortsOpen().get(60, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() {
    link.setBandwidth(FAST_BYTES_PER_SECOND);
    proxy.close();
    control.close();
    link.close();
  }

  private Daemon startHost(
      String id, String roles, int callers, int inner, int operator, int controlPort)
      throws IOException {
    Path file = folder.resolve(id + ".ini");
    Files.writeString(
        file,
        String.join(
            "\n",
            "[host]",
            "id = " + id,
            "zone = z",
            "cluster-id = c",
            "roles = " + roles,
            "[network]",
            "caller-address = 127.0.0.1:" + callers,
            "inner-address = 127.0.0.1:" + inner,
            "operator-address = 127.0.0.1:" + operator,
            "[sessions]",
            "ready-address = 127.0.0.1:" + FreePorts.next(),
            "grace = 1s",
            "[control]",
            "hosts = 127.0.0.1:" + controlPort,
            "[keys]",
            "cluster-key-file = cluster.key",
            ""));
    return new Daemon(DaemonSettings.read(file));
  }

  private static String configuration(int number, int added, String... others) {
    StringBuilder routes = new StringBuilder();
    for (String other : others) {
      routes.append(route(other)).append(',');
    }
    for (int i = 0; i < added; i++) {
      routes.append(route("added-" + i)).append(',');
    }
    return "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{}}"
        .formatted(
            number,
            routes.substring(0, routes.length() - 1),
            "{\"name\":\"g1\",\"max_connections\":4}");
  }

  private static String route(String database) {
    return ("{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"/\","
            + "\"route_type\":\"primary\",\"timeout_ms\":400,\"service\":\"g1\"}")
        .formatted(database, database);
  }

  /** Sends a configuration to the control host until it is confirmed. */
  private void replace(String configuration) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + controlOperator + "/api/Config.Replace"))
            .POST(HttpRequest.BodyPublishers.ofString(configuration))
            .build();
    int status = 503;
    for (int i = 0; i < 60 && status == 503; i++) {
      status = http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
      TimeUnit.MILLISECONDS.sleep(status == 503 ? 100 : 0);
    }
    assertThat(status).isEqualTo(200);
  }

  private String open(String database) throws IOException {
    try (Session session = new Session(database)) {
      return session.reply;
    }
  }

  private void awaitReply(String database, String reply) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
    while (!open(database).startsWith(reply) && System.nanoTime() < endNanos) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertThat(open(database)).startsWith(reply);
  }

  /** An open session. */
  private final class Session implements AutoCloseable {
    private final Socket socket = new Socket("127.0.0.1", proxyCallers);
    private final BufferedReader in;
    final String reply;

    Session(String database) throws IOException {
      socket.setSoTimeout(10_000);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      reply = exchange("START " + database + " me");
    }

    String exchange(String line) throws IOException {
      socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      return in.readLine();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /**
   * Guards against an added route that is called unknown, and a dropped one that is served, by a
   * host that is still receiving the configuration.
   */
  @Test
  void hostActsOnNoOldConfigurationOnceTheNewOneMustBeInForce() throws Exception {
    replace(configuration(1, 1, KEPT, DROPPED));
    awaitReply(DROPPED, "READY");
    try (Session open = new Session(DROPPED)) {
      assertThat(open.reply).startsWith("READY");
      link.setBandwidth(SLOW_BYTES_PER_SECOND);
      replace(configuration(2, ROUTES, KEPT));
      final long confirmedNanos = System.nanoTime();
      int busy = 0;

      for (long millis = 0; millis < OBSERVED_MILLIS; millis = millisSince(confirmedNanos)) {
        boolean late = millis > CONFIG_APPLY_MILLIS;
        String added = open(ADDED);
        String dropped = open(DROPPED);
        String statement = open.exchange("QUERY i" + millis + " READ x");
        if (late) {
          assertWithMessage("after %s ms", millis).that(added).doesNotContain("NODB");
          assertWithMessage("after %s ms", millis).that(dropped).startsWith("ERROR");
          assertWithMessage("after %s ms", millis).that(statement).contains("ERROR BUSY");
          busy += added.startsWith("ERROR BUSY") ? 1 : 0;
        }
        String ready = open.in.readLine();
        assertThat(ready).startsWith("READY");
        TimeUnit.MILLISECONDS.sleep(50);
      }

      assertThat(busy).isGreaterThan(0);
    }
    link.setBandwidth(FAST_BYTES_PER_SECOND);
    awaitReply(ADDED, "READY");
    awaitReply(DROPPED, "ERROR NODB");
    awaitReply(KEPT, "READY");
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }
}
