package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.alderyard.common.settings.SettingsException;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests tickets on a cluster of three control hosts with data folders, running as real daemons. */
class ThreeControlHostsTest {
  private static final String OPERATOR_KEY = "operator-secret";
  private static final String TICKET = "{\"objects\":[{\"kind\":\"group\",\"id\":\"g%d\"}]}";
  private static final int HOSTS = 3;
  private static final int ATTEMPTS = 400;
  private static final long RETRY_DELAY_MILLIS = 50;

  @TempDir Path root;
  private final HttpClient http = HttpClient.newHttpClient();
  private final Map<Integer, Daemon> running = new TreeMap<>();
  private int[] innerPorts;
  private int[] operatorPorts;

  @BeforeEach
  void choosePorts() throws IOException {
    innerPorts = new int[HOSTS];
    operatorPorts = new int[HOSTS];
    for (int number = 0; number < HOSTS; number++) {
      innerPorts[number] = FreePorts.next();
      operatorPorts[number] = FreePorts.next();
      Files.createDirectories(root.resolve("data-" + number));
    }
    Files.writeString(root.resolve("cluster.key"), "a secret of the whole cluster");
    Files.writeString(root.resolve("operator.key"), OPERATOR_KEY);
  }

  @AfterEach
  void closeAll() {
    running.values().forEach(Daemon::close);
  }

  private DaemonSettings settings(int number, String folderLine) throws IOException {
    String hosts =
        "127.0.0.1:%d, 127.0.0.1:%d, 127.0.0.1:%d"
            .formatted(innerPorts[0], innerPorts[1], innerPorts[2]);
    String text =
        """
        [host]
        id = control-%d
        zone = zone-a
        cluster-id = test
        roles = control
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
                number,
                FreePorts.next(),
                innerPorts[number],
                operatorPorts[number],
                hosts,
                folderLine,
                root.resolve("cluster.key"),
                root.resolve("operator.key"));
    Path file = root.resolve("host-" + number + ".ini");
    Files.writeString(file, text);
    return DaemonSettings.read(file);
  }

  private void start(int number) throws IOException {
    String folderLine = "data-folder = " + root.resolve("data-" + number);
    running.put(number, new Daemon(settings(number, folderLine)));
  }

  private HttpResponse<String> putTicket(int host, int number) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + operatorPorts[host] + "/v1/tickets/" + number))
            .header("Authorization", "Bearer " + OPERATOR_KEY)
            .PUT(HttpRequest.BodyPublishers.ofString(TICKET.formatted(number)))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Resends a ticket until it is accepted. Resending is safe because tickets are identified by
   * their number.
   */
  private void submitUntilAccepted(int host, int number) throws Exception {
    HttpResponse<String> lastResponse = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      lastResponse = putTicket(host, number);
      if (lastResponse.statusCode() == 200) {
        return;
      }
      assertThat(lastResponse.statusCode()).isAnyOf(502, 503, 504);
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    throw new AssertionError(
        "not accepted: " + lastResponse.statusCode() + " " + lastResponse.body());
  }

  /** Waits until a host's view contains the group of the ticket. */
  private void awaitInForce(int host, int number) throws Exception {
    URI groups = URI.create("http://127.0.0.1:" + operatorPorts[host] + "/v1/groups");
    HttpRequest request =
        HttpRequest.newBuilder(groups).header("Authorization", "Bearer " + OPERATOR_KEY).build();
    String body = "";
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      body = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
      if (body.contains("\"g" + number + "\"")) {
        return;
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    throw new AssertionError("g" + number + " is not in force on host " + host + ": " + body);
  }

  /**
   * Tickets are submitted while each control host in turn is stopped and restarted from its data
   * folder; finally all three hosts are stopped and restarted. Every accepted ticket must stay in
   * force.
   */
  @Test
  void acceptedTicketsSurviveHostRestarts() throws Exception {
    for (int number = 0; number < HOSTS; number++) {
      start(number);
    }
    submitUntilAccepted(0, 1);
    for (int stopped = 0; stopped < HOSTS; stopped++) {
      running.remove(stopped).close();
      submitUntilAccepted((stopped + 1) % HOSTS, 10 + stopped);
      start(stopped);
      awaitInForce(stopped, 10 + stopped);
    }
    for (int number : List.of(0, 1, 2)) {
      running.remove(number).close();
    }
    for (int number : List.of(2, 1, 0)) {
      start(number);
    }
    for (int ticket : List.of(1, 10, 11, 12)) {
      awaitInForce(0, ticket);
    }
  }

  /**
   * Several control hosts without data folders must be refused, because each of them would decide
   * alone.
   */
  @Test
  void severalControlHostsRequireDataFolders() {
    SettingsException error = assertThrows(SettingsException.class, () -> settings(0, ""));
    assertThat(error).hasMessageThat().contains("data-folder");
  }
}
