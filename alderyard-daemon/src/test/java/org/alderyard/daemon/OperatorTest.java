package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Operator requests through any host of the cluster. */
class OperatorTest {
  private static final String TICKET =
      """
      {"objects":[{"kind":"group","id":"g1","slotsPerServer":2},
                  {"kind":"pool","name":"p","groups":["g1"]}]}
      """;

  @TempDir Path folder;

  private static JsonNode json(HttpResponse<String> response) {
    return Json.parseObject(response.body().getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Sends a ticket through one host and again through another host, with its objects reordered and
   * a default written out; both must count as the same content. Other content under the same number
   * is a conflict. The "in force on N of M" count follows hosts that join and leave.
   */
  @Test
  void resentTicketIsIdempotentAndReportsHostsInForce() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startHost("h2");
      cluster.startHost("h3");
      HttpResponse<String> first = cluster.putTicket(1, 7, TICKET);
      assertThat(first.statusCode()).isEqualTo(200);
      HttpResponse<String> resent =
          cluster.putTicket(
              2,
              7,
              """
              {"objects":[{"kind":"pool","name":"p","groups":["g1"],"maxStalenessMillis":5000},
                          {"kind":"group","id":"g1","slotsPerServer":2}]}
              """);
      assertThat(json(resent).path("acceptedVersion"))
          .isEqualTo(json(first).path("acceptedVersion"));

      var conflicting =
          cluster.putTicket(0, 7, "{\"objects\":[{\"kind\":\"group\",\"id\":\"g1\"}]}");
      assertThat(conflicting.statusCode()).isEqualTo(409);
      assertThat(json(conflicting).at("/error/code").asText()).isEqualTo("TICKET_CONFLICT");
      assertThat(conflicting.body()).contains(json(first).path("contentHash").asText());

      cluster.awaitOperator(2, "/v1/tickets/7", "in force on 3 of 3");
      cluster.awaitOperator(0, "/v1/tickets", "\"number\":7");
      cluster.awaitOperator(1, "/v1/status", "\"hostsCurrent\":3");
      cluster.awaitOperator(1, "/v1/pools", "\"name\":\"p\"");
      assertThat(cluster.operator(0, "GET", "/v1/tickets/8", "").statusCode()).isEqualTo(404);
      cluster.closeLastStarted();
      cluster.awaitOperator(0, "/v1/tickets/7", "in force on 2 of 2");
    }
  }

  @Test
  void refusalListsEveryFaultOfTicket() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      String body =
          """
          {"objects":[{"kind":"group","id":"g1","slotsPerServer":0,"colour":"red"},
                      {"kind":"pool","name":"p","groups":["g2"],"maxStalenessMillis":"5s"},
                      {"kind":"keys","keys":[{"id":1,"secretBase64":"c2hvcnQ="}]},
                      {"kind":"shard","id":"x"}],
           "comment":"x"}
          """;

      HttpResponse<String> refused = cluster.putTicket(0, 1, body);

      assertThat(refused.statusCode()).isEqualTo(422);
      assertThat(json(refused).at("/error/code").asText()).isEqualTo("TICKET_INVALID");
      assertThat(json(refused).at("/error/outcome").asText()).isEqualTo("NOT_RUN");
      List<String> faultLocations = new ArrayList<>();
      json(refused)
          .at("/error/faults")
          .forEach(
              fault ->
                  faultLocations.add(
                      fault.path("object").asText() + " " + fault.path("field").asText()));
      assertThat(faultLocations)
          .containsExactly(
              "ticket comment",
              "group/g1 colour",
              "group/g1 slotsPerServer",
              "pool/p maxStalenessMillis",
              "pool/p groups",
              "keys/tokens keys.secretBase64",
              "shard/x kind");
      assertThat(refused.body()).doesNotContain("c2hvcnQ=");
      assertThat(cluster.putTicket(0, 1, TICKET).statusCode()).isEqualTo(200);
    }
  }

  /**
   * A drain requested through one host makes only the named host not ready, until the drain is
   * ended.
   */
  @Test
  void drainedHostIsNotReadyUntilDrainEnds() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startHost("h2");
      cluster.awaitReady(1, 200);
      assertThat(cluster.operator(0, "POST", "/v1/hosts/h2/drain", "").statusCode()).isEqualTo(200);
      cluster.awaitReady(1, 503);
      cluster.awaitReady(0, 200);
      cluster.awaitOperator(0, "/v1/hosts", "\"draining\":true");
      cluster.operator(0, "POST", "/v1/hosts/h2/drain", "{\"draining\":false}");
      cluster.awaitReady(1, 200);

      assertThat(cluster.operator(0, "POST", "/v1/hosts/h9/drain", "").statusCode()).isEqualTo(404);
      assertThat(cluster.operator(0, "POST", "/v1/hosts/h2/drain", "{\"drain\":1}").statusCode())
          .isEqualTo(400);
    }
  }

  /** A host that starts after hundreds of changes receives the newest view directly. */
  @Test
  void lateHostReceivesNewestView() throws Exception {
    try (TestCluster cluster = new TestCluster(folder)) {
      cluster.startHost("h1");
      cluster.startHost("h2");
      for (int number = 1; number <= 300; number++) {
        String body =
            "{\"objects\":[{\"kind\":\"group\",\"id\":\"g1\",\"slotsPerServer\":%d}]}"
                .formatted(1 + number % 30);
        assertThat(cluster.putTicket(0, number, body).statusCode()).isEqualTo(200);
      }
      cluster.closeLastStarted();
      cluster.startHost("h3");
      cluster.awaitOperator(2, "/v1/groups", "\"slotsPerServer\":1,");
      cluster.awaitOperator(2, "/v1/tickets/300", "in force on 2 of 2");
    }
  }
}
