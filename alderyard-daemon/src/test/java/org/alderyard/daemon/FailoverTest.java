package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.backend.http.BackendJson;
import org.alderyard.backend.http.BackendPaths;
import org.alderyard.common.http.Json;
import org.alderyard.testkit.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests failover of a primary as seen by a caller of the proxies. */
class FailoverTest {
  private static final String POOL = "orders-db";
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"orders-db","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final String READ = "{\"key\":\"order\",\"kind\":\"read\",\"statement\":\"get\"}";
  private static final int ATTEMPTS = 600;
  private static final long FETCH_MILLIS = 500;

  @TempDir Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private TestCluster cluster;

  /**
   * The primary stops. Later writes must succeed in the next term on another server, and the
   * acknowledged write must be preserved.
   */
  @Test
  void acknowledgedWritesSurviveFailureOfPrimary() throws Exception {
    try (TestCluster started = start()) {
      cluster = started;
      var before = cluster.awaitStatement(0, POOL, write("kept"));
      started.servers.get(0).close();
      var read = cluster.awaitStatement(1, POOL, readOnPrimary());
      assertThat(read.body()).contains("\"result\":\"kept\"");
      var after = cluster.awaitStatement(1, POOL, write("next"));
      assertThat(term(after)).isEqualTo(term(before) + 1);
      assertThat(after.body()).doesNotContain("\"server\":\"g1-1\"");
    }
  }

  /**
   * The primary becomes unreachable while it holds a write that no replica has, and is replaced.
   * After its return, the write must never be read, and the server must become a replica of the new
   * term.
   */
  @Test
  void returningPrimaryDiscardsUnreplicatedWriteAndBecomesReplica() throws Exception {
    try (TestCluster started = start()) {
      cluster = started;
      cluster.awaitStatement(0, POOL, write("kept"));
      started.servers.get(1).switches().set(unreachable(true));
      started.servers.get(2).switches().set(unreachable(true));
      // Waits out a fetch already in progress, with which a replica would still copy the write.
      Thread.sleep(FETCH_MILLIS);
      var unacknowledged = cluster.statement(0, POOL, Optional.empty(), shortDeadlineWrite("tail"));
      assertThat(unacknowledged.body()).contains("OUTCOME_UNKNOWN");
      started.servers.get(0).switches().set(unreachable(true));
      started.servers.get(1).switches().set(unreachable(false));
      started.servers.get(2).switches().set(unreachable(false));
      var after = cluster.awaitStatement(1, POOL, write("next"));
      started.servers.get(0).switches().set(unreachable(false));

      ServerReport formerPrimary = awaitRole(started.servers.get(0), ServerRole.REPLICA);
      assertThat(formerPrimary.term()).isAtLeast(term(after));
      for (int i = 0; i < 20; i++) {
        var read = cluster.statement(i % 2, POOL, Optional.empty(), READ);
        assertThat(read.body()).doesNotContain("tail");
      }
    }
  }

  /**
   * The primary becomes unreachable and returns, then its successor becomes unreachable. The group
   * must fail over both times.
   */
  @Test
  void groupFailsOverTwice() throws Exception {
    try (TestCluster started = start()) {
      cluster = started;
      final var first = cluster.awaitStatement(0, POOL, write("one"));
      StandInServer initialPrimary = started.servers.get(0);
      initialPrimary.switches().set(unreachable(true));
      var second = cluster.awaitStatement(1, POOL, write("two"));
      initialPrimary.switches().set(unreachable(false));
      awaitRole(initialPrimary, ServerRole.REPLICA);
      StandInServer successor = started.servers.get(serverOf(second) - 1);
      successor.switches().set(unreachable(true));
      var third = cluster.awaitStatement(0, POOL, write("three"));
      assertThat(term(third)).isGreaterThan(term(second));
      assertThat(term(second)).isGreaterThan(term(first));
      successor.switches().set(unreachable(false));
      assertThat(cluster.awaitStatement(1, POOL, readOnPrimary()).body()).contains("three");
    }
  }

  private TestCluster start() throws Exception {
    TestCluster started = new TestCluster(folder);
    started.startHost("h1");
    started.startHost("h2");
    started.startHost("h3");
    started.startGroup("g1");
    assertThat(started.putTicket(1, 1, TICKET).statusCode()).isEqualTo(200);
    return started;
  }

  private ServerReport awaitRole(StandInServer server, ServerRole role) throws Exception {
    ServerReport lastReport = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + BackendPaths.STATE);
      var answer =
          http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
      lastReport = BackendJson.report(BackendJson.parse(answer.body()));
      if (lastReport.role() == role) {
        return lastReport;
      }
      Thread.sleep(20);
    }
    throw new AssertionError("not " + role + ": " + lastReport);
  }

  private static long term(HttpResponse<String> answer) throws Exception {
    return BackendJson.parse(answer.body().getBytes(StandardCharsets.UTF_8))
        .path("servedBy")
        .path("term")
        .asLong();
  }

  private static int serverOf(HttpResponse<String> answer) throws Exception {
    String server =
        BackendJson.parse(answer.body().getBytes(StandardCharsets.UTF_8))
            .path("servedBy")
            .path("server")
            .asText();
    return Integer.parseInt(server.substring(server.indexOf('-') + 1));
  }

  private static String write(String value) {
    return statement(value, 5_000);
  }

  private static String shortDeadlineWrite(String value) {
    return statement(value, 300);
  }

  private static String statement(String value, int deadlineMillis) {
    return "{\"key\":\"order\",\"kind\":\"write\",\"statement\":\"put\",\"deadlineMillis\":"
        + deadlineMillis
        + ",\"parameters\":[\""
        + value
        + "\"]}";
  }

  private static String readOnPrimary() {
    return "{\"key\":\"order\",\"kind\":\"read\",\"statement\":\"get\","
        + "\"freshness\":{\"mode\":\"primary\"}}";
  }

  private static JsonNode unreachable(boolean value) {
    return Json.object().put("unreachable", value);
  }
}
