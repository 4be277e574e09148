package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a complete host whose callers open sessions: settings, ports and control log. */
class SessionHostTest {
  private static final String CONFIGURATION =
      "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"orders\",\"path_prefix\":\"/\","
          + "\"route_type\":\"primary\",\"timeout_ms\":400,\"service\":\"g1\"}],"
          + "\"services\":[{\"name\":\"g1\",\"max_connections\":4}],\"limits\":{}}";

  @TempDir Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<LogLevel> reloadedLevels = new ArrayList<>();
  private int[] ports;
  private Daemon daemon;

  @BeforeEach
  void start() throws Exception {
    ports = IntStream.generate(FreePorts::next).limit(4).toArray();
    Files.createDirectory(folder.resolve("data"));
    Files.writeString(folder.resolve("cluster.key"), "0123456789abcdef0123456789abcdef");
    Files.writeString(folder.resolve("host.ini"), settings("info"));
    daemon = new Daemon(DaemonSettings.read(folder.resolve("host.ini")));
    // The caller port is open now. The operator port opens later, so that a starting host can be
    // stopped meanwhile.
    daemon.whenOperatorPortsOpen().get(60, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  private String settings(String level) {
    return String.join(
        "\n",
        "[host]",
        "id = h1",
        "zone = z",
        "cluster-id = c",
        "roles = proxy, control",
        "[network]",
        "caller-address = 127.0.0.1:" + ports[0],
        "inner-address = 127.0.0.1:" + ports[1],
        "operator-address = 127.0.0.1:" + ports[2],
        "[sessions]",
        "ready-address = 127.0.0.1:" + ports[3],
        "grace = 1s",
        "[control]",
        "seeds = 127.0.0.1:1",
        "may-found = true",
        "borne-losses = 0",
        "data-folder = data",
        "[keys]",
        "cluster-key-file = cluster.key",
        "[log]",
        "level = " + level,
        "");
  }

  private int status(String method, String path, String body) throws Exception {
    return send(ports[2], method, path, body).statusCode();
  }

  private HttpResponse<String> send(int port, String method, String path, String body)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Sends a configuration and resends it unchanged while the status is 503. */
  private int replace(String configuration) throws Exception {
    int status = 503;
    for (int i = 0; i < 60 && status == 503; i++) {
      status = status("POST", "/api/Config.Replace", configuration);
      TimeUnit.MILLISECONDS.sleep(status == 503 ? 100 : 0);
    }
    return status;
  }

  private boolean ready() throws Exception {
    return send(ports[3], "GET", "/api/readiness", "").statusCode() == 200;
  }

  private String openSession(String database) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", ports[0])) {
      socket.setSoTimeout(10_000);
      socket
          .getOutputStream()
          .write(("START " + database + " me\r\n").getBytes(StandardCharsets.ISO_8859_1));
      return new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
          .readLine();
    }
  }

  @Test
  void configurationIsAcceptedReturnedAndApplied() throws Exception {
    assertThat(ready()).isFalse();
    assertThat(replace(CONFIGURATION)).isEqualTo(200);
    assertThat(replace(CONFIGURATION)).isEqualTo(200);
    assertThat(send(ports[2], "GET", "/api/Config.Fetch", "").body()).isEqualTo(CONFIGURATION);

    for (int i = 0; i < 100 && !ready(); i++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertThat(ready()).isTrue();
    assertThat(openSession("orders")).isEqualTo("READY I -");
    assertThat(openSession("nowhere")).startsWith("ERROR NODB");
  }

  @Test
  void invalidAndConflictingConfigurationsAreRefusedAndChangeNothing() throws Exception {
    assertThat(replace(CONFIGURATION)).isEqualTo(200);

    assertThat(replace(CONFIGURATION.replace("400", "500"))).isEqualTo(409);
    assertThat(replace(CONFIGURATION.replace("\"version\":3", "\"version\":4").replace("400", "0")))
        .isEqualTo(422);
    assertThat(
            replace(
                CONFIGURATION
                    .replace("\"version\":3", "\"version\":4")
                    .replace("\"service\":\"g1\"", "\"service\":\"g2\"")))
        .isEqualTo(422);
    assertThat(replace(CONFIGURATION.substring(0, 60))).isEqualTo(400);
    assertThat(replace(CONFIGURATION.replace("\"version\":3", "\"version\":2"))).isEqualTo(200);
    assertThat(send(ports[2], "GET", "/api/Config.Fetch", "").body()).isEqualTo(CONFIGURATION);
  }

  @Test
  void serversAnnounceThemselvesAndInvalidStateIsRefused() throws Exception {
    assertThat(replace(CONFIGURATION)).isEqualTo(200);
    String heartbeat =
        "{\"service\":\"g1\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"version\":\"v1\","
            + "\"slots\":2,\"state\":\"ready\",\"cold_remaining_ms\":0,\"db_role\":\"primary\","
            + "\"seq_no\":1,\"born\":5}";
    assertThat(status("POST", "/api/Instances.Heartbeat/i-1", heartbeat)).isEqualTo(200);
    assertThat(status("POST", "/api/Instances.Heartbeat/i-1", heartbeat.replace("ready", "asleep")))
        .isEqualTo(400);
    assertThat(status("POST", "/api/Instances.Deregister/i-1", "")).isEqualTo(200);
  }

  @Test
  void changedSettingsAreReloadedAndInvalidOnesIgnored() throws Exception {
    SettingsWatch watch = new SettingsWatch(folder.resolve("host.ini"));
    watch.start(new WorkerPool("test", 1), changed -> reloadedLevels.add(changed.log().level()));
    watch.reloadIfChanged("file");
    Files.writeString(folder.resolve("host.ini"), settings("warn"));
    watch.reloadIfChanged("file");
    Files.writeString(folder.resolve("host.ini"), settings("loud"));
    watch.reloadIfChanged("signal");

    assertThat(reloadedLevels).containsExactly(LogLevel.WARN);
  }

  /** Guards against a change and its signal that are lost while the host starts. */
  @Test
  void signalBeforeTheWatchStartsReloadsChangedSettings() throws Exception {
    SettingsWatch watch = new SettingsWatch(folder.resolve("host.ini"));
    Files.writeString(folder.resolve("host.ini"), settings("warn"));
    watch.onSignal();

    CompletableFuture<LogLevel> reloaded = new CompletableFuture<>();
    watch.start(new WorkerPool("test", 1), changed -> reloaded.complete(changed.log().level()));

    assertThat(reloaded.get(10, TimeUnit.SECONDS)).isEqualTo(LogLevel.WARN);
  }
}
