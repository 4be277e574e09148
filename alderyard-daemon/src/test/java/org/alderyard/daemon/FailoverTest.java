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

/** A primary fails and comes back, seen by a caller who knows only a proxy. */
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
   * The packing floor closes an order while the primary's process dies. The next order must go
   * through without anyone's help, and the one before it must still be there.
   */
  @Test
  void writesGoOnAfterPrimaryDiedAndKeepWhatWasAcknowledged() throws Exception {
    try (TestCluster started = start()) {
      cluster = started;
      var before = cluster.statementOnceReady(0, POOL, write("kept"));
      started.servers.get(0).close();
      var read = cluster.statementOnceReady(1, POOL, readOnPrimary());
      assertThat(read.body()).contains("\"result\":\"kept\"");
      var after = cluster.statementOnceReady(1, POOL, write("next"));
      assertThat(term(after)).isEqualTo(term(before) + 1);
      assertThat(after.body()).doesNotContain("\"server\":\"g1-1\"");
    }
  }

  /**
   * The primary is cut off with a write that nobody else holds, is replaced, and returns. Its tail
   * must never be read again; it must become a replica of the new term by itself.
   */
  @Test
  void returningPrimaryDropsItsTailAndFollows() throws Exception {
    try (TestCluster started = start()) {
      cluster = started;
      cluster.statementOnceReady(0, POOL, write("kept"));
      started.servers.get(1).switches().set(unreachable(true));
      started.servers.get(2).switches().set(unreachable(true));
      // A replica's fetch that is under way would still carry the tail: let it end.
      Thread.sleep(FETCH_MILLIS);
      var lost = cluster.statement(0, POOL, Optional.empty(), shortWrite("tail"));
      assertThat(lost.body()).contains("OUTCOME_UNKNOWN");
      started.servers.get(0).switches().set(unreachable(true));
      started.servers.get(1).switches().set(unreachable(false));
      started.servers.get(2).switches().set(unreachable(false));
      var after = cluster.statementOnceReady(1, POOL, write("next"));
      started.servers.get(0).switches().set(unreachable(false));

      ServerReport old = awaitRole(started.servers.get(0), ServerRole.REPLICA);
      assertThat(old.term()).isAtLeast(term(after));
      for (int i = 0; i < 20; i++) {
        var read = cluster.statement(i % 2, POOL, Optional.empty(), READ);
        assertThat(read.body()).doesNotContain("tail");
      }
    }
  }

  /** The same primary fails twice in a row; the second time, the group fails over again. */
  @Test
  void sameFaultTwiceIsMendedTwice() throws Exception {
    try (TestCluster started = start()) {
      cluster = started;
      final var first = cluster.statementOnceReady(0, POOL, write("one"));
      StandInServer one = started.servers.get(0);
      one.switches().set(unreachable(true));
      var second = cluster.statementOnceReady(1, POOL, write("two"));
      one.switches().set(unreachable(false));
      awaitRole(one, ServerRole.REPLICA);
      StandInServer next = started.servers.get(serverOf(second) - 1);
      next.switches().set(unreachable(true));
      var third = cluster.statementOnceReady(0, POOL, write("three"));
      assertThat(term(third)).isGreaterThan(term(second));
      assertThat(term(second)).isGreaterThan(term(first));
      next.switches().set(unreachable(false));
      assertThat(cluster.statementOnceReady(1, POOL, readOnPrimary()).body()).contains("three");
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
    ServerReport last = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + BackendPaths.STATE);
      var answer =
          http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
      last = BackendJson.report(BackendJson.parse(answer.body()));
      if (last.role() == role) {
        return last;
      }
      Thread.sleep(20);
    }
    throw new AssertionError("not " + role + ": " + last);
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

  private static String shortWrite(String value) {
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
