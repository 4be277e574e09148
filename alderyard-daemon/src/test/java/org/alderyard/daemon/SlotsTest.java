package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The slots of a server hold for writes as for reads. */
class SlotsTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1","slotsPerServer":2,"connectionsPerServer":40},
        {"kind":"pool","name":"orders","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final String WRITE =
      """
      {"key":"orders","kind":"write","statement":"append","parameters":[%d],
       "deadlineMillis":60000}
      """;
  private static final int WRITES = 60;

  @TempDir Path folder;

  /**
   * A packing floor sends sixty orders at once. The primary has two slots and takes 100 ms for
   * each; writes once went around the limiter, and the server got all of them together and refused
   * what its own queue could not hold. Then the proxy held them back, but asked for the connections
   * of one statement at a time, and the last orders ran out of time. Now it asks for what waits.
   */
  @Test
  void burstOfWritesReachesTheServerFewAtTime() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.statementOnceReady(0, "orders", write(0));
      cluster.servers.get(0).switches().set(Json.object().put("serviceMillis", 100));
      int before = cluster.servers.get(0).mostConcurrentStatements();
      assertThat(before).isAtMost(4);

      List<CompletableFuture<Integer>> answers = new ArrayList<>();
      for (int order = 1; order <= WRITES; order++) {
        String body = write(order);
        answers.add(CompletableFuture.supplyAsync(() -> status(cluster, body)));
      }
      for (CompletableFuture<Integer> answer : answers) {
        assertThat(answer.join()).isEqualTo(200);
      }
      assertThat(cluster.servers.get(0).mostConcurrentStatements()).isAtMost(4);
    }
  }

  private static int status(TestCluster cluster, String body) {
    try {
      return cluster.statement(0, "orders", Optional.empty(), body).statusCode();
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private static String write(int order) {
    return WRITE.formatted(order);
  }
}
