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

/** An order that is sent through two proxies runs once, with either ledger, over real sockets. */
class ExactlyOnceTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"orders","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final int ATTEMPTS = 300;
  private static final long PAUSE_MILLIS = 50;

  @TempDir Path folder;

  /**
   * Every second answer of the servers is lost with its connection. Each order is sent through both
   * proxies; the servers' ledger answers what ran already, so no order stands in the list twice.
   */
  @Test
  void serverLedgerAnswersLostAnswers() throws Exception {
    try (TestCluster cluster = start(true)) {
      cluster.statementOnceReady(0, "orders", order("warm", "warm-up"));
      cluster.statementOnceReady(1, "orders", order("warm", "warm-up"));
      cluster.servers.forEach(server -> server.switches().set(dropEverySecondAnswer()));

      for (int number = 1; number <= 10; number++) {
        String order = order("order-" + number, "kit-" + number);
        untilAnswered(cluster, 0, order);
        untilAnswered(cluster, 1, order);
      }

      cluster.servers.forEach(
          server -> server.switches().set(Json.object().put("dropEveryNth", 0)));
      // The warm-up and ten orders: an eleventh order is entry twelve.
      HttpResponse<String> last = untilAnswered(cluster, 0, order("order-11", "kit-11"));
      assertThat(last.body()).contains("\"result\":12,");
    }
  }

  /**
   * The servers keep no ledger. An order goes through one proxy and again through the other one;
   * the proxy that owns its id has run it, and gives the first answer.
   */
  @Test
  void ownerOfIdAnswersResendThroughOtherProxy() throws Exception {
    try (TestCluster cluster = start(false)) {
      cluster.statementOnceReady(0, "orders", order("warm", "warm-up").replace("requestId", "x"));
      String id = firstAdmitted(cluster);

      HttpResponse<String> again = cluster.statement(1, "orders", Optional.empty(), id);
      HttpResponse<String> once = cluster.statement(0, "orders", Optional.empty(), id);
      HttpResponse<String> other =
          cluster.statement(1, "orders", Optional.empty(), id.replace("kit", "other"));

      assertThat(again.body()).contains("\"result\":2,");
      assertThat(once.body()).contains("\"result\":2,");
      assertThat(other.statusCode()).isEqualTo(409);
      assertThat(other.body()).contains("REQUEST_ID_REUSED");
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

  /** Sends new orders until one is admitted: right after their start, proxies refuse old ids. */
  private static String firstAdmitted(TestCluster cluster) throws Exception {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      String order = order("order-" + attempt, "kit");
      if (cluster.statement(0, "orders", Optional.empty(), order).statusCode() == 200) {
        return order;
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    throw new AssertionError("no order was admitted");
  }

  private static HttpResponse<String> untilAnswered(TestCluster cluster, int host, String order)
      throws Exception {
    HttpResponse<String> last = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      last = cluster.statement(host, "orders", Optional.empty(), order);
      if (last.statusCode() == 200) {
        return last;
      }
    }
    throw new AssertionError("no answer: " + last.body());
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

  private static com.fasterxml.jackson.databind.JsonNode dropEverySecondAnswer() {
    return Json.object().put("dropEveryNth", 2);
  }
}
