package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One request from end to end: ticket, announcement, write on one proxy, read on another. */
class WholePathTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"listings-db","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final String READ = "{\"key\":\"room\",\"kind\":\"read\",\"statement\":\"get\"}";

  @TempDir Path folder;

  /**
   * A coordinator moves a room through one proxy and reloads the page through another one. The
   * replicas show the change only after 300 ms, so the page must come from the primary or wait.
   */
  @Test
  void callerReadsItsOwnWriteThroughAnotherProxy() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startHost("h2");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(1, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.statementOnceReady(0, "listings-db", write("Old Hall"));
      for (var server : cluster.servers) {
        server.switches().set(lag(300));
      }

      for (int move = 0; move < 5; move++) {
        String room = "Room " + move;
        var written = cluster.statement(0, "listings-db", Optional.empty(), write(room));
        assertThat(written.statusCode()).isEqualTo(200);
        Optional<String> token = written.headers().firstValue("Alderyard-Session");
        var read = cluster.statement(1, "listings-db", token, READ);
        assertThat(read.statusCode()).isEqualTo(200);
        assertThat(read.body()).contains("\"result\":\"" + room + "\"");
        assertThat(read.body()).contains("\"host\":\"h2\"");
      }
    }
  }

  private static String write(String room) {
    return "{\"key\":\"room\",\"kind\":\"write\",\"statement\":\"put\",\"parameters\":[\""
        + room
        + "\"]}";
  }

  private static com.fasterxml.jackson.databind.JsonNode lag(long millis) {
    return org.alderyard.common.http.Json.object().put("applyLagMillis", millis);
  }
}
