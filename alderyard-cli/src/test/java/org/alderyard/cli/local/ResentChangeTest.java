package org.alderyard.cli.local;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.alderyard.daemon.DaemonMain;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a resent change is not rejected after it was applied. The confirmation is lost, a
 * control host is suspended, and the operator resends the change through a host without a disk.
 *
 * <p>Uses real processes: three control hosts and one host that forwards the operator's requests.
 */
class ResentChangeTest {
  private static final int CONTROL_HOSTS = 3;
  private static final int ENTRY_HOST = CONTROL_HOSTS;
  private static final int PORTS = 4;
  private static final int CONFIRMED = 200;
  private static final int MAX_ATTEMPTS = 50;
  private static final int CALLER = 0;
  private static final int INNER = 1;
  private static final int OPERATOR = 2;
  private static final int READY = 3;
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_000);
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(100);
  private static final Duration LONG_SUSPENSION = Duration.ofSeconds(3);
  private static final Duration SHORT_SUSPENSION = Duration.ofMillis(1_200);
  private static final Duration CONFIRM_TIMEOUT = Duration.ofSeconds(60);

  @TempDir Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final int[][] ports = new int[CONTROL_HOSTS + 1][];
  private ProcessSet processes;

  @BeforeEach
  void start() throws Exception {
    for (int host = 0; host < ports.length; host++) {
      ports[host] = IntStream.generate(FreePorts::next).limit(PORTS).toArray();
    }
    Files.writeString(folder.resolve("cluster.key"), "0123456789abcdef0123456789abcdef");
    processes = new ProcessSet(folder);
    for (int host = 0; host < ports.length; host++) {
      Path file = folder.resolve(name(host) + ".ini");
      Files.writeString(file, settings(host));
      processes.start(name(host), "96m", DaemonMain.class, List.of("--settings", file.toString()));
    }
  }

  @AfterEach
  void stop() {
    IntStream.range(0, CONTROL_HOSTS).forEach(host -> processes.resume(name(host)));
    processes.close();
  }

  private static String name(int host) {
    return host < CONTROL_HOSTS ? "control-" + host : "entry";
  }

  private String settings(int host) throws IOException {
    boolean control = host < CONTROL_HOSTS;
    Files.createDirectories(folder.resolve("data-" + host));
    String[] lines = {
      "[host]",
      "id = " + name(host),
      "zone = z",
      "cluster-id = c",
      "roles = proxy" + (control ? ", control" : ""),
      "[network]",
      "caller-address = 127.0.0.1:" + ports[host][CALLER],
      "inner-address = 127.0.0.1:" + ports[host][INNER],
      "operator-address = 127.0.0.1:" + ports[host][OPERATOR],
      "[sessions]",
      "ready-address = 127.0.0.1:" + ports[host][READY],
      "grace = 1s",
      "[control]",
      "hosts =" + String.join(",", controlAddresses()),
      control ? "data-folder = data-" + host : "",
      "[proxy]",
      "worker-threads = 2",
      "io-threads = 1",
      "inner-threads = 1",
      "[keys]",
      "cluster-key-file = cluster.key",
      ""
    };
    return String.join("\n", lines);
  }

  private List<String> controlAddresses() {
    List<String> addresses = new ArrayList<>();
    for (int host = 0; host < CONTROL_HOSTS; host++) {
      addresses.add(" 127.0.0.1:" + ports[host][INNER]);
    }
    return addresses;
  }

  private static String change(int number) {
    return ("{\"version\":%d,\"routes\":[{\"name\":\"r\",\"host\":\"orders\",\"path_prefix\":\"/\","
            + "\"route_type\":\"primary\",\"timeout_ms\":%d,\"service\":\"g1\"}],"
            + "\"services\":[{\"name\":\"g1\",\"max_connections\":4}],\"limits\":{}}")
        .formatted(number, 400 + number);
  }

  private CompletableFuture<Integer> send(String change) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://127.0.0.1:" + ports[ENTRY_HOST][OPERATOR] + "/api/Config.Replace"))
            .timeout(RESPONSE_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(change))
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(HttpResponse::statusCode);
  }

  /** Returns the status, or empty without a response, after which operators try another host. */
  private static Optional<Integer> status(CompletableFuture<Integer> response) throws Exception {
    try {
      return Optional.of(response.get());
    } catch (java.util.concurrent.ExecutionException noResponse) {
      return Optional.empty();
    }
  }

  /** Resends a change until it is confirmed, as an operator does; a rejection fails the test. */
  private void confirm(String change) throws Exception {
    long end = System.nanoTime() + CONFIRM_TIMEOUT.toNanos();
    while (System.nanoTime() < end) {
      Optional<Integer> status = status(send(change));
      if (status.equals(Optional.of(CONFIRMED))) {
        return;
      }
      assertNoneRejected(List.of(status));
      TimeUnit.NANOSECONDS.sleep(RESEND_INTERVAL.toNanos());
    }
    throw new AssertionError("the change was not confirmed; see " + folder);
  }

  /** Sends a change until it is confirmed, and closes the connection after the status line. */
  private void confirmAndDiscardResponse(String change) throws Exception {
    byte[] body = change.getBytes(StandardCharsets.UTF_8);
    String head =
        "POST /api/Config.Replace HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
            + "Content-Length: "
            + body.length
            + "\r\n\r\n";
    String statusLine = "";
    for (int i = 0; i < MAX_ATTEMPTS && !statusLine.contains(" " + CONFIRMED + " "); i++) {
      try (Socket socket = new Socket("127.0.0.1", ports[ENTRY_HOST][OPERATOR])) {
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        statusLine =
            new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
                .readLine();
      }
    }
    assertThat(statusLine).contains(" " + CONFIRMED + " ");
  }

  /** Resends a change concurrently, as after timeouts, and returns the statuses of all attempts. */
  private List<Optional<Integer>> resendRepeatedly(Duration time, String change) throws Exception {
    List<CompletableFuture<Integer>> sent = new ArrayList<>();
    long end = System.nanoTime() + time.toNanos();
    while (System.nanoTime() < end) {
      sent.add(send(change));
      TimeUnit.NANOSECONDS.sleep(RESEND_INTERVAL.toNanos());
    }
    List<Optional<Integer>> statuses = new ArrayList<>();
    for (CompletableFuture<Integer> response : sent) {
      statuses.add(status(response));
    }
    return statuses;
  }

  private static void assertNoneRejected(List<Optional<Integer>> statuses) {
    List<Integer> rejections =
        statuses.stream()
            .flatMap(Optional::stream)
            .filter(status -> status >= 400 && status < 500)
            .toList();
    assertWithMessage("responses: %s", statuses).that(rejections).isEmpty();
  }

  @Test
  @Timeout(value = 300, unit = TimeUnit.SECONDS)
  void resentChangeIsConfirmedWhileOneControlHostIsSuspended() throws Exception {
    confirm(change(1));
    for (int suspended = 0; suspended < CONTROL_HOSTS; suspended++) {
      String change = change(2 + suspended);
      confirmAndDiscardResponse(change);
      processes.pause(name(suspended));

      assertNoneRejected(resendRepeatedly(LONG_SUSPENSION, change));

      confirm(change);
      processes.resume(name(suspended));
    }
  }

  @Test
  @Timeout(value = 300, unit = TimeUnit.SECONDS)
  void resentChangeIsNotRejectedWhileMajorityIsSuspended() throws Exception {
    String change = change(1);
    confirm(change);
    confirmAndDiscardResponse(change);
    processes.pause(name(0));
    processes.pause(name(1));

    assertNoneRejected(resendRepeatedly(LONG_SUSPENSION, change));

    processes.resume(name(0));
    processes.resume(name(1));
    confirm(change);
  }

  /**
   * When the leader responds late once, the search for the leader reaches the suspended host, and
   * the next requests encounter the unfinished handshake with that host.
   */
  @Test
  @Timeout(value = 300, unit = TimeUnit.SECONDS)
  void resentChangeIsConfirmedWhileOneHostIsSuspendedAndLeaderIsLate() throws Exception {
    String change = change(1);
    confirm(change);
    confirmAndDiscardResponse(change);
    processes.pause(name(0));
    confirm(change);
    for (int late = 1; late < CONTROL_HOSTS; late++) {
      processes.pause(name(late));
      assertNoneRejected(resendRepeatedly(SHORT_SUSPENSION, change));
      processes.resume(name(late));

      assertNoneRejected(resendRepeatedly(LONG_SUSPENSION, change));
      confirm(change);
    }
  }
}
