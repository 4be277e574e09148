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

/** Transactions of callers through several proxies, over real sockets. */
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
   * The packing floor closes two parcels in one transaction; the balancer sends each request to
   * another proxy. Nobody sees the first line before the commit, and everybody both lines after.
   */
  @Test
  void transactionRunsThroughAnyProxyAndShowsAtCommitOnly() throws Exception {
    try (TestCluster cluster = start()) {
      String path = begin(cluster, 0);
      assertThat(post(cluster, 1, path + "/statements", append("parcel-1")).statusCode())
          .isEqualTo(200);
      assertThat(post(cluster, 0, path + "/statements", append("parcel-2")).body())
          .contains("\"result\":2");
      assertThat(primaryRead(cluster)).doesNotContain("parcel");

      HttpResponse<String> committed = post(cluster, 1, path + "/commit", "");
      HttpResponse<String> again = post(cluster, 0, path + "/commit", "");

      assertThat(committed.body()).contains("\"committed\":true");
      assertThat(committed.headers().firstValue("Alderyard-Session").isPresent()).isTrue();
      assertThat(again.body()).contains("\"committed\":true");
      assertThat(primaryRead(cluster)).contains("[\"parcel-1\",\"parcel-2\"]");
    }
  }

  /**
   * Two packers work at once, and one of them gives up. Each transaction has a connection of its
   * own, so the one that is dropped takes no line of the other with it.
   */
  @Test
  void rollbackOfOneTransactionLeavesTheOther() throws Exception {
    try (TestCluster cluster = start()) {
      String kept = begin(cluster, 0);
      String dropped = begin(cluster, 0);
      post(cluster, 0, kept + "/statements", append("kept"));
      post(cluster, 0, dropped + "/statements", append("dropped"));

      assertThat(post(cluster, 1, dropped + "/rollback", "").statusCode()).isEqualTo(200);
      HttpResponse<String> late = post(cluster, 0, dropped + "/statements", append("late"));
      post(cluster, 0, kept + "/commit", "");

      assertThat(late.body()).contains("\"code\":\"TRANSACTION_LOST\"");
      assertThat(late.body()).contains("\"outcome\":\"NOT_RUN\"");
      assertThat(primaryRead(cluster)).contains("[\"kept\"]");
    }
  }

  /**
   * The proxy that holds a transaction is replaced while it is open. A statement through another
   * proxy is told that the transaction is lost and did not run; the server has dropped it.
   */
  @Test
  void transactionOfGoneHolderIsLost() throws Exception {
    try (TestCluster cluster = start()) {
      String ofOlderProcess = "/h1:1:0123456789abcdef";

      HttpResponse<String> statement =
          post(cluster, 1, ofOlderProcess + "/statements", append("parcel"));
      HttpResponse<String> commit = post(cluster, 1, ofOlderProcess + "/commit", "");

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
    String warm = append("warm").replace("order", "warm");
    cluster.statementOnceReady(0, "orders", warm);
    cluster.statementOnceReady(1, "orders", warm);
    return cluster;
  }

  private static String begin(TestCluster cluster, int host) throws Exception {
    HttpResponse<String> begun = post(cluster, host, "", BEGIN);
    assertThat(begun.statusCode()).isEqualTo(200);
    JsonNode body = Json.parseObject(begun.body().getBytes(StandardCharsets.UTF_8));
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
