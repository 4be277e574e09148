package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Optional;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a write sent through two proxies runs once, with the ledger of the servers and with
 * that of the proxies.
 */
class ExactlyOnceTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"orders","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final int ATTEMPTS = 300;
  private static final long RETRY_DELAY_MILLIS = 50;

  @TempDir Path folder;

  /**
   * Every second response of the servers is lost together with its connection, and each write is
   * sent through both proxies. The ledger of the servers must return the stored outcome, so that no
   * value is appended twice.
   */
  @Test
  void serverLedgerAnswersResendAfterLostResponse() throws Exception {
    try (TestCluster cluster = start(true)) {
      cluster.awaitStatement(0, "orders", order("warm", "warm-up"));
      cluster.awaitStatement(1, "orders", order("warm", "warm-up"));
      cluster.servers.forEach(server -> server.switches().set(dropEverySecondResponse()));

      for (int number = 1; number <= 10; number++) {
        String order = order("order-" + number, "kit-" + number);
        sendUntilSuccess(cluster, 0, order);
        sendUntilSuccess(cluster, 1, order);
      }

      cluster.servers.forEach(
          server -> server.switches().set(Json.object().put("dropEveryNth", 0)));
      // The warm-up and ten writes precede this one, so its result is 12.
      HttpResponse<String> lastResponse = sendUntilSuccess(cluster, 0, order("order-11", "kit-11"));
      assertThat(lastResponse.body()).contains("\"result\":12,");
    }
  }

  /**
   * The servers keep no ledger. A write resent through the other proxy must receive the first
   * outcome from the proxy that owns its request id.
   */
  @Test
  void ownerOfIdAnswersResendThroughOtherProxy() throws Exception {
    try (TestCluster cluster = start(false)) {
      cluster.awaitStatement(0, "orders", order("warm", "warm-up").replace("requestId", "x"));
      String order = firstAdmitted(cluster);

      HttpResponse<String> resentElsewhere =
          cluster.statement(1, "orders", Optional.empty(), order);
      HttpResponse<String> resent = cluster.statement(0, "orders", Optional.empty(), order);
      HttpResponse<String> conflicting =
          cluster.statement(1, "orders", Optional.empty(), order.replace("kit", "other"));

      assertThat(resentElsewhere.body()).contains("\"result\":2,");
      assertThat(resent.body()).contains("\"result\":2,");
      assertThat(conflicting.statusCode()).isEqualTo(409);
      assertThat(conflicting.body()).contains("REQUEST_ID_REUSED");
    }
  }

  private TestCluster start(boolean ledger) throws Exception {
    TestCluster cluster = new TestCluster(folder);
    cluster.startHost("h1");
    cluster.startHost("h2");
    cluster.startGroup("g1", ledger);
    assertThat(cluster.putTicket(1, 1, TICKET).statusCode()).isEqualTo(200);
    return cluster;
  }

  /**
   * Sends writes with new ids until one is admitted. Proxies that have just started refuse older
   * ids.
   */
  private static String firstAdmitted(TestCluster cluster) throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      String order = order("order-" + attempt, "kit");
      if (cluster.statement(0, "orders", Optional.empty(), order).statusCode() == 200) {
        return order;
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    throw new AssertionError("no order was admitted");
  }

  private static HttpResponse<String> sendUntilSuccess(TestCluster cluster, int host, String order)
      throws Exception {
    HttpResponse<String> lastResponse = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      lastResponse = cluster.statement(host, "orders", Optional.empty(), order);
      if (lastResponse.statusCode() == 200) {
        return lastResponse;
      }
    }
    throw new AssertionError("no response with status 200: " + lastResponse.body());
  }

  private static String order(String id, String value) {
    return Json.object()
        .put("key", "orders")
        .put("kind", "write")
        .put("statement", "append")
        .put("requestId", id)
        .put("requestedAtMillis", System.currentTimeMillis())
        .<ObjectNode>set("parameters", JsonNodeFactory.instance.arrayNode().add(value))
        .toString();
  }

  private static com.fasterxml.jackson.databind.JsonNode dropEverySecondResponse() {
    return Json.object().put("dropEveryNth", 2);
  }
}
