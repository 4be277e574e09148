package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the path from ticket and announcement to a write through one proxy and a read through
 * another.
 */
class EndToEndTest {
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
   * Replicas apply a write only after 300 ms. A read with the session token of the write must
   * return the written value through another proxy, from the primary or from a replica that has
   * caught up.
   */
  @Test
  void callerReadsItsOwnWriteThroughAnotherProxy() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startHost("h2");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(1, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.awaitStatement(0, "listings-db", write("Old Hall"));
      for (var server : cluster.servers) {
        server.switches().set(lag(300));
      }

      for (int round = 0; round < 5; round++) {
        String room = "Room " + round;
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
