package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests transactions through several proxies over real sockets. */
class TransactionTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"orders","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final String BEGIN = "{\"key\":\"order\"}";
  private static final String READ = "{\"key\":\"order\",\"kind\":\"read\",\"statement\":\"get\"}";

  @TempDir Path folder;

  /**
   * Sends each request of one transaction to another proxy. Its writes must be invisible before the
   * commit and all visible after it.
   */
  @Test
  void transactionRunsThroughAnyProxyAndIsVisibleOnlyAfterCommit() throws Exception {
    try (TestCluster cluster = start()) {
      String path = begin(cluster, 0);
      assertThat(post(cluster, 1, path + "/statements", append("parcel-1")).statusCode())
          .isEqualTo(200);
      assertThat(post(cluster, 0, path + "/statements", append("parcel-2")).body())
          .contains("\"result\":2");
      assertThat(primaryRead(cluster)).doesNotContain("parcel");

      HttpResponse<String> committed = post(cluster, 1, path + "/commit", "");
      HttpResponse<String> repeatedCommit = post(cluster, 0, path + "/commit", "");

      assertThat(committed.body()).contains("\"committed\":true");
      assertThat(committed.headers().firstValue("Alderyard-Session").isPresent()).isTrue();
      assertThat(repeatedCommit.body()).contains("\"committed\":true");
      assertThat(primaryRead(cluster)).contains("[\"parcel-1\",\"parcel-2\"]");
    }
  }

  /**
   * Runs two transactions on the same key and rolls one back. Each has its own connection, so the
   * rollback must not affect the writes of the other transaction.
   */
  @Test
  void rollbackDoesNotAffectOtherTransaction() throws Exception {
    try (TestCluster cluster = start()) {
      String committedPath = begin(cluster, 0);
      String rolledBackPath = begin(cluster, 0);
      post(cluster, 0, committedPath + "/statements", append("kept"));
      post(cluster, 0, rolledBackPath + "/statements", append("dropped"));

      assertThat(post(cluster, 1, rolledBackPath + "/rollback", "").statusCode()).isEqualTo(200);
      HttpResponse<String> lateStatement =
          post(cluster, 0, rolledBackPath + "/statements", append("late"));
      post(cluster, 0, committedPath + "/commit", "");

      assertThat(lateStatement.body()).contains("\"code\":\"TRANSACTION_LOST\"");
      assertThat(lateStatement.body()).contains("\"outcome\":\"NOT_RUN\"");
      assertThat(primaryRead(cluster)).contains("[\"kept\"]");
    }
  }

  /**
   * Uses the id of a transaction whose holder process has been replaced. A statement through
   * another proxy must be refused with TRANSACTION_LOST and NOT_RUN, and a commit with
   * OUTCOME_UNKNOWN.
   */
  @Test
  void transactionOfReplacedHolderIsLost() throws Exception {
    try (TestCluster cluster = start()) {
      String olderTransaction = "/h1:1:0123456789abcdef";

      HttpResponse<String> statement =
          post(cluster, 1, olderTransaction + "/statements", append("parcel"));
      HttpResponse<String> commit = post(cluster, 1, olderTransaction + "/commit", "");

      assertThat(statement.body()).contains("\"code\":\"TRANSACTION_LOST\"");
      assertThat(statement.body()).contains("\"outcome\":\"NOT_RUN\"");
      assertThat(commit.body()).contains("\"outcome\":\"OUTCOME_UNKNOWN\"");
    }
  }

  private TestCluster start() throws Exception {
    TestCluster cluster = new TestCluster(folder);
    cluster.startHost("h1");
    cluster.startHost("h2");
    cluster.startGroup("g1");
    assertThat(cluster.putTicket(1, 1, TICKET).statusCode()).isEqualTo(200);
    String warmUpStatement = append("warm").replace("order", "warm");
    cluster.awaitStatement(0, "orders", warmUpStatement);
    cluster.awaitStatement(1, "orders", warmUpStatement);
    return cluster;
  }

  private static String begin(TestCluster cluster, int host) throws Exception {
    HttpResponse<String> response = post(cluster, host, "", BEGIN);
    assertThat(response.statusCode()).isEqualTo(200);
    JsonNode body = Json.parseObject(response.body().getBytes(StandardCharsets.UTF_8));
    return "/" + body.path("transactionId").asText();
  }

  private static HttpResponse<String> post(TestCluster cluster, int host, String path, String body)
      throws Exception {
    return cluster.post(host, "/v1/pools/orders/transactions" + path, Optional.empty(), body);
  }

  private static String primaryRead(TestCluster cluster) throws Exception {
    String read =
        READ.replace("\"statement\"", "\"freshness\":{\"mode\":\"primary\"},\"statement\"");
    return cluster.statement(0, "orders", Optional.empty(), read).body();
  }

  private static String append(String value) {
    return "{\"key\":\"order\",\"kind\":\"write\",\"statement\":\"append\",\"parameters\":[\""
        + value
        + "\"]}";
  }
}
