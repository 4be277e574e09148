package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a host that shuts down interrupts no open transaction. */
class DrainTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"orders","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final String ORDER =
      """
      {"key":"order","kind":"write","statement":"append","parameters":["kit"]}
      """;
  private static final String TRANSACTIONS = "/v1/pools/orders/transactions";
  private static final int ATTEMPTS = 500;

  @TempDir Path folder;

  /**
   * A proxy shuts down while a transaction is open on it. New writes must be refused as not run and
   * succeed through the other proxy; the transaction must continue and commit before the proxy
   * stops.
   */
  @Test
  void shutdownWaitsForOpenTransactionAndRefusesNewStatements() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startHost("h2");
      cluster.startGroup("g1");
      assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
      cluster.awaitStatement(0, "orders", ORDER);
      cluster.awaitStatement(1, "orders", ORDER);
      String begun = cluster.post(1, TRANSACTIONS, Optional.empty(), ORDER).body();
      String id = Json.parseObject(begun.getBytes()).path("transactionId").asText();

      CompletableFuture<Void> closed = CompletableFuture.runAsync(() -> cluster.stopHost(1));
      HttpResponse<String> refused = sendUntilRefused(cluster);
      HttpResponse<String> elsewhere = cluster.statement(0, "orders", Optional.empty(), ORDER);
      boolean endedEarly = closed.isDone();
      HttpResponse<String> statement =
          cluster.post(1, TRANSACTIONS + "/" + id + "/statements", Optional.empty(), ORDER);
      HttpResponse<String> commit =
          cluster.post(1, TRANSACTIONS + "/" + id + "/commit", Optional.empty(), "");

      assertThat(refused.body()).contains("\"code\":\"DRAINING\"");
      assertThat(refused.body()).contains("\"outcome\":\"NOT_RUN\"");
      assertThat(refused.body()).contains("retryAfterMillis");
      assertThat(elsewhere.statusCode()).isEqualTo(200);
      assertThat(endedEarly).isFalse();
      assertThat(statement.statusCode()).isEqualTo(200);
      assertThat(commit.body()).contains("\"committed\":true");
      closed.join();
    }
  }

  private static HttpResponse<String> sendUntilRefused(TestCluster cluster) throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      HttpResponse<String> answer = cluster.statement(1, "orders", Optional.empty(), ORDER);
      if (answer.statusCode() != 200) {
        return answer;
      }
    }
    throw new AssertionError("the host accepts new statements while it shuts down");
  }
}
