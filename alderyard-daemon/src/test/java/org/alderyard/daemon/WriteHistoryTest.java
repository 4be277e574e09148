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

/** Histories of concurrent callers over two proxies, checked for every promise at once. */
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
  private static final int SENDINGS = 4;

  @TempDir Path folder;
  private final ConcurrentLinkedQueue<Operation> history = new ConcurrentLinkedQueue<>();

  /**
   * Four shops append orders and read them back, each request through a proxy by chance. Replicas
   * lag, and one answer in seven is lost after its statement ran; the shop sends such an order
   * again under its id. At the end no acknowledged order is missing, none stands twice, and each
   * shop has always seen its own.
   */
  @Test
  void lostAnswersAndLagBreakNoPromise() throws Exception {
    try (TestCluster cluster = start(2)) {
      cluster.servers.forEach(
          server ->
              server.switches().set(Json.object().put("dropEveryNth", 7).put("applyLagMillis", 5)));

      runSessions(cluster, () -> {});

      cluster.servers.forEach(
          server -> server.switches().set(Json.object().put("dropEveryNth", 0)));
      assertPromisesKept(cluster);
    }
  }

  /**
   * In the middle of the sale the primary is cut off with orders that its replicas may not hold,
   * and another one takes over. Orders without an answer are sent again to the new primary. None
   * that was acknowledged is lost, and none stands twice.
   */
  @Test
  void replacedPrimaryBreaksNoPromise() throws Exception {
    try (TestCluster cluster = start(3)) {
      runSessions(
          cluster,
          () -> cluster.servers.get(0).switches().set(Json.object().put("unreachable", true)));

      cluster.statementOnceReady(0, "orders", append("warm", "after", "after"));
      assertPromisesKept(cluster);
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
      cluster.statementOnceReady(host, "orders", append("warm", "warm", "warm-" + host));
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

  private void assertPromisesKept(TestCluster cluster) throws Exception {
    assertThat(HistoryChecker.check(List.copyOf(history), finalLists(cluster))).isEmpty();
    assertThat(history.stream().filter(Operation::acknowledgedAppend).count())
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

  /** One shop: its requests follow one another and carry its session. */
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

    void run(Runnable eachStep) {
      for (int step = 0; step < STEPS; step++) {
        eachStep.run();
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
      for (int sending = 0; sending < SENDINGS; sending++) {
        HttpResponse<String> answer = send(WriteHistoryTest.append(key, value, value));
        result = result(answer, sending);
        if (result == Operation.Result.OK) {
          break;
        }
      }
      record(key, Operation.Kind.APPEND, value, result, startNanos, List.of());
    }

    /** After a sending of unknown outcome, a later refusal says nothing of the first. */
    private Operation.Result result(HttpResponse<String> answer, int sending) {
      if (answer.statusCode() == 200) {
        return Operation.Result.OK;
      }
      boolean notRun = sending == 0 && answer.body().contains("\"outcome\":\"NOT_RUN\"");
      return notRun ? Operation.Result.NOT_RUN : Operation.Result.UNKNOWN;
    }

    private void read(String key) {
      final long startNanos = System.nanoTime();
      HttpResponse<String> answer = send(WriteHistoryTest.read(key));
      boolean good = answer.statusCode() == 200;
      record(
          key,
          Operation.Kind.READ,
          "",
          good ? Operation.Result.OK : Operation.Result.UNKNOWN,
          startNanos,
          good ? list(answer.body()) : List.of());
    }

    private HttpResponse<String> send(String body) {
      try {
        HttpResponse<String> answer =
            cluster.statement(random.nextInt(cluster.hosts.size()), "orders", token, body);
        token = answer.headers().firstValue("Alderyard-Session").or(() -> token);
        return answer;
      } catch (Exception broken) {
        throw new AssertionError(broken);
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
