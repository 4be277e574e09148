package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.http.Json;
import org.alderyard.testkit.history.HistoryChecker;
import org.alderyard.testkit.history.Operation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks histories of concurrent callers over several proxies against all consistency guarantees.
 */
class WriteHistoryTest {
  private static final String TICKET =
      """
      {"objects":[
        {"kind":"group","id":"g1"},
        {"kind":"pool","name":"orders","groups":["g1"]},
        {"kind":"keys","keys":[{"id":1,"secretBase64":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}]}
      """;
  private static final String APPEND =
      """
      {"key":"%s","kind":"write","statement":"append","parameters":["%s"],"requestId":"%s"}
      """;
  private static final long SEED = 20_261_202;
  private static final int SESSIONS = 4;
  private static final int STEPS = 40;
  private static final int KEYS = 3;
  private static final int MAX_ATTEMPTS = 4;

  @TempDir Path folder;
  private final ConcurrentLinkedQueue<Operation> history = new ConcurrentLinkedQueue<>();

  /**
   * Four sessions append and read through random proxies, while replicas lag and one response in
   * seven is lost after its statement has run; such writes are resent under the same id. No
   * acknowledged write may be missing or duplicated, and each session must always read its own
   * writes.
   */
  @Test
  void guaranteesHoldWithLostResponsesAndLag() throws Exception {
    try (TestCluster cluster = start(2)) {
      cluster.servers.forEach(
          server ->
              server.switches().set(Json.object().put("dropEveryNth", 7).put("applyLagMillis", 5)));

      runSessions(cluster, () -> {});

      cluster.servers.forEach(
          server -> server.switches().set(Json.object().put("dropEveryNth", 0)));
      assertGuaranteesHold(cluster);
    }
  }

  /**
   * Halfway through, the primary becomes unreachable with writes that its replicas may not hold,
   * and another server takes over. Writes without a response are resent; no acknowledged write may
   * be lost or duplicated.
   */
  @Test
  void guaranteesHoldWhenPrimaryIsReplaced() throws Exception {
    try (TestCluster cluster = start(3)) {
      runSessions(
          cluster,
          () -> cluster.servers.get(0).switches().set(Json.object().put("unreachable", true)));

      cluster.awaitStatement(0, "orders", append("warm", "after", "after"));
      assertGuaranteesHold(cluster);
    }
  }

  private TestCluster start(int hosts) throws Exception {
    TestCluster cluster = new TestCluster(folder);
    for (int host = 1; host <= hosts; host++) {
      cluster.startHost("h" + host);
    }
    cluster.startGroup("g1", true);
    assertThat(cluster.putTicket(1, 1, TICKET).statusCode()).isEqualTo(200);
    for (int host = 0; host < hosts; host++) {
      cluster.awaitStatement(host, "orders", append("warm", "warm", "warm-" + host));
    }
    return cluster;
  }

  private void runSessions(TestCluster cluster, Runnable midway) {
    AtomicInteger steps = new AtomicInteger();
    List<CompletableFuture<Void>> sessions = new ArrayList<>();
    for (int number = 0; number < SESSIONS; number++) {
      Session session = new Session(cluster, "shop-" + number, new SplittableRandom(SEED + number));
      sessions.add(
          CompletableFuture.runAsync(
              () ->
                  session.run(
                      () -> {
                        if (steps.incrementAndGet() == SESSIONS * STEPS / 2) {
                          midway.run();
                        }
                      })));
    }
    sessions.forEach(CompletableFuture::join);
  }

  private void assertGuaranteesHold(TestCluster cluster) throws Exception {
    assertThat(HistoryChecker.check(List.copyOf(history), finalLists(cluster))).isEmpty();
    assertThat(history.stream().filter(Operation::isAcknowledgedAppend).count())
        .isAtLeast(SESSIONS * STEPS / 4);
  }

  private static Map<String, List<String>> finalLists(TestCluster cluster) throws Exception {
    Map<String, List<String>> lists = new HashMap<>();
    for (int key = 0; key < KEYS; key++) {
      String read =
          read("key-" + key).replace("\"key\"", "\"freshness\":{\"mode\":\"primary\"},\"key\"");
      lists.put("key-" + key, list(cluster.statement(0, "orders", Optional.empty(), read).body()));
    }
    return lists;
  }

  private static List<String> list(String body) {
    List<String> values = new ArrayList<>();
    JsonNode json = Json.parseObject(body.getBytes(StandardCharsets.UTF_8));
    json.path("result").forEach(value -> values.add(value.asText()));
    return values;
  }

  private static String append(String key, String value, String id) {
    return APPEND.formatted(key, value, id);
  }

  private static String read(String key) {
    return "{\"key\":\"%s\",\"kind\":\"read\",\"statement\":\"get\"}".formatted(key);
  }

  /** A caller session that sends its requests one after the other with its session token. */
  private final class Session {
    private final TestCluster cluster;
    private final String name;
    private final SplittableRandom random;
    private Optional<String> token = Optional.empty();

    Session(TestCluster cluster, String name, SplittableRandom random) {
      this.cluster = cluster;
      this.name = name;
      this.random = random;
    }

    void run(Runnable beforeStep) {
      for (int step = 0; step < STEPS; step++) {
        beforeStep.run();
        String key = "key-" + random.nextInt(KEYS);
        if (random.nextBoolean()) {
          append(key, name + "-" + step);
        } else {
          read(key);
        }
      }
    }

    private void append(String key, String value) {
      final long startNanos = System.nanoTime();
      Operation.Result result = Operation.Result.UNKNOWN;
      for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        HttpResponse<String> response = send(WriteHistoryTest.append(key, value, value));
        result = result(response, attempt);
        if (result == Operation.Result.OK) {
          break;
        }
      }
      record(key, Operation.Kind.APPEND, value, result, startNanos, List.of());
    }

    /**
     * Returns the result of an attempt. NOT_RUN counts only on the first attempt, because a later
     * refusal does not decide an earlier unknown outcome.
     */
    private Operation.Result result(HttpResponse<String> response, int attempt) {
      if (response.statusCode() == 200) {
        return Operation.Result.OK;
      }
      boolean notRun = attempt == 0 && response.body().contains("\"outcome\":\"NOT_RUN\"");
      return notRun ? Operation.Result.NOT_RUN : Operation.Result.UNKNOWN;
    }

    private void read(String key) {
      final long startNanos = System.nanoTime();
      HttpResponse<String> response = send(WriteHistoryTest.read(key));
      boolean success = response.statusCode() == 200;
      record(
          key,
          Operation.Kind.READ,
          "",
          success ? Operation.Result.OK : Operation.Result.UNKNOWN,
          startNanos,
          success ? list(response.body()) : List.of());
    }

    private HttpResponse<String> send(String body) {
      try {
        HttpResponse<String> response =
            cluster.statement(random.nextInt(cluster.hosts.size()), "orders", token, body);
        token = response.headers().firstValue("Alderyard-Session").or(() -> token);
        return response;
      } catch (Exception failure) {
        throw new AssertionError(failure);
      }
    }

    private void record(
        String key,
        Operation.Kind kind,
        String value,
        Operation.Result result,
        long startNanos,
        List<String> observed) {
      history.add(
          new Operation(
              name,
              key,
              kind,
              value,
              result,
              startNanos,
              System.nanoTime(),
              observed,
              OptionalLong.empty()));
    }
  }
}
