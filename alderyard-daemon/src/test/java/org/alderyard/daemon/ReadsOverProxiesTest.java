package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Optional;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reads through running daemons against stand-in backend servers. */
class ReadsOverProxiesTest {
  private static final String POOL = "listings-db";
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"listings-db","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;

  @TempDir Path folder;

  /**
   * Replicas lag by 100 ms. A read after a write must wait for a replica within this host's budget
   * of 10 s instead of using the primary. Two session tokens in one request are merged, and a token
   * with one changed character is refused.
   */
  @Test
  void readAfterWriteWaitsForReplicaAndMergesTokens() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startHost("h2", "read-wait-budget = 10s");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(1, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.awaitStatement(0, POOL, write("talk", "start"));
      // Waits until the second proxy has measured the positions of the group.
      cluster.awaitStatementResult(1, POOL, bounded("talk", 60_000), "\"role\":\"replica\"");
      for (var server : cluster.servers) {
        server.switches().set(Json.object().put("applyLagMillis", 100));
      }

      String first = token(cluster.statement(0, POOL, Optional.empty(), write("talk", "moved")));
      String second = token(cluster.statement(0, POOL, Optional.empty(), write("room", "Hall 2")));
      Optional<String> both = Optional.of(first + "," + second);
      HttpResponse<String> talk = cluster.statement(1, POOL, both, read("talk"));
      assertThat(talk.body()).contains("\"result\":\"moved\"");
      assertThat(talk.body()).contains("\"role\":\"replica\"");
      HttpResponse<String> room = cluster.statement(1, POOL, both, read("room"));
      assertThat(room.body()).contains("\"result\":\"Hall 2\"");

      char last = first.charAt(first.length() - 1);
      String forged = first.substring(0, first.length() - 1) + (last == 'A' ? 'E' : 'A');
      HttpResponse<String> refused = cluster.statement(1, POOL, Optional.of(forged), read("talk"));
      assertThat(refused.statusCode()).isEqualTo(400);
      assertThat(refused.body()).contains("NOT_RUN");
    }
  }

  /**
   * A read that accepts an age of 60 s is served by a replica and reports the bound of its age; a
   * read that accepts no age is served by the primary.
   */
  @Test
  void boundedReadReportsAgeBound() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.awaitStatement(0, POOL, write("talk", "start"));
      HttpResponse<String> stale =
          cluster.awaitStatementResult(0, POOL, bounded("talk", 60_000), "\"role\":\"replica\"");
      assertThat(stale.body()).contains("ageBoundMillis");
      HttpResponse<String> fresh = cluster.statement(0, POOL, Optional.empty(), bounded("talk", 0));
      assertThat(fresh.body()).contains("\"role\":\"primary\"");
      String metrics = cluster.get(0, "/metrics").body();
      assertThat(metrics)
          .contains("alderyard_read_decisions_total{mode=\"bounded\",reason=\"replica_fresh\"}");
      assertThat(metrics).contains("alderyard_replica_age_bound_seconds_count");
    }
  }

  private static String token(HttpResponse<String> answer) {
    return answer.headers().firstValue("Alderyard-Session").orElseThrow();
  }

  private static String write(String key, String value) {
    return "{\"key\":\"%s\",\"kind\":\"write\",\"statement\":\"put\",\"parameters\":[\"%s\"]}"
        .formatted(key, value);
  }

  private static String read(String key) {
    return "{\"key\":\"%s\",\"kind\":\"read\",\"statement\":\"get\"}".formatted(key);
  }

  private static String bounded(String key, long millis) {
    return ("{\"key\":\"%s\",\"kind\":\"read\",\"statement\":\"get\",\"freshness\":"
            + "{\"mode\":\"bounded\",\"maxStalenessMillis\":%d}}")
        .formatted(key, millis);
  }
}
