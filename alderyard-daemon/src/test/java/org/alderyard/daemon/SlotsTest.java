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

/** Tests that the slot limit of a server applies to writes. */
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
   * Sends sixty concurrent writes to a primary with two slots and a service time of 100 ms.
   *
   * <p>Guards against two failures: writes that bypassed the limiter reached the server all
   * together, and it refused what its own queue could not hold; and a proxy that requested
   * connections for one statement at a time let the last writes miss their deadlines. The
   * connection target must cover all queued statements.
   */
  @Test
  void burstOfWritesRespectsSlotLimit() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.awaitStatement(0, "orders", write(0));
      cluster.servers.get(0).switches().set(Json.object().put("serviceMillis", 100));
      int initialMaximum = cluster.servers.get(0).mostConcurrentStatements();
      assertThat(initialMaximum).isAtMost(4);

      List<CompletableFuture<Integer>> statuses = new ArrayList<>();
      for (int order = 1; order <= WRITES; order++) {
        String body = write(order);
        statuses.add(CompletableFuture.supplyAsync(() -> status(cluster, body)));
      }
      for (CompletableFuture<Integer> status : statuses) {
        assertThat(status.join()).isEqualTo(200);
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
