package org.alderyard.benchmarks.failover;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import org.alderyard.backend.http.BackendJson;

/** A caller that writes to one group without a pause and notes every acknowledgement. */
final class GapCaller implements Runnable {
  /** One way between a caller and its proxy. */
  private static final long ONE_WAY_MILLIS = 3;

  private static final long PAUSE_MILLIS = 10;
  private static final int WRITES_PER_KEY = 100;
  private static final int DEADLINE_MILLIS = 5_000;

  /**
   * An acknowledged write.
   *
   * @param atNanos when the caller heard of it
   * @param server who ran it
   */
  record Acknowledged(long atNanos, String server) {}

  private final HttpClient http;
  private final InetSocketAddress proxy;
  private final String pool;
  private final String name;
  private final List<Acknowledged> acknowledged = new CopyOnWriteArrayList<>();
  private final Map<String, Set<Integer>> acknowledgedByKey = new HashMap<>();
  private volatile boolean ended;
  private volatile String lastError = "none";
  private int number;
  private int unknown;

  GapCaller(HttpClient http, InetSocketAddress proxy, String pool, String name) {
    this.http = http;
    this.proxy = proxy;
    this.pool = pool;
    this.name = name;
  }

  List<Acknowledged> acknowledged() {
    return acknowledged;
  }

  /** Forgets what was acknowledged before, so that a long run stays small. */
  void forget() {
    acknowledged.clear();
  }

  /** Returns the last answer that was no acknowledgement. */
  String lastError() {
    return lastError;
  }

  int unknown() {
    return unknown;
  }

  int total() {
    return acknowledgedByKey.values().stream().mapToInt(Set::size).sum();
  }

  void end() {
    ended = true;
  }

  @Override
  public void run() {
    while (!ended) {
      number++;
      String key = name + "-" + number / WRITES_PER_KEY;
      try {
        Thread.sleep(ONE_WAY_MILLIS);
        HttpResponse<byte[]> answer = send(key, "append", number);
        Thread.sleep(ONE_WAY_MILLIS);
        note(key, answer);
        Thread.sleep(PAUSE_MILLIS);
      } catch (IOException broken) {
        unknown++;
      } catch (InterruptedException stopped) {
        return;
      }
    }
  }

  private void note(String key, HttpResponse<byte[]> answer) {
    JsonNode body = BackendJson.parse(answer.body());
    if (answer.statusCode() == 200) {
      String server = body.path("servedBy").path("server").asText();
      acknowledgedByKey.computeIfAbsent(key, absent -> new TreeSet<>()).add(number);
      acknowledged.add(new Acknowledged(System.nanoTime(), server));
    } else {
      lastError = body.toString();
      unknown += body.path("error").path("outcome").asText().equals("OUTCOME_UNKNOWN") ? 1 : 0;
    }
  }

  private HttpResponse<byte[]> send(String key, String statement, int value)
      throws IOException, InterruptedException {
    boolean read = statement.equals("get");
    String body =
        BackendJson.object()
            .put("key", key)
            .put("kind", read ? "read" : "write")
            .put("statement", statement)
            .put("deadlineMillis", DEADLINE_MILLIS)
            .set("parameters", BackendJson.object().arrayNode().add(value))
            .toString();
    if (read) {
      body = body.substring(0, body.length() - 1) + ",\"freshness\":{\"mode\":\"primary\"}}";
    }
    URI uri =
        URI.create("http://127.0.0.1:" + proxy.getPort() + "/v1/pools/" + pool + "/statements");
    return http.send(
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofByteArray());
  }

  /**
   * Reads all keys back.
   *
   * @return how many acknowledged writes are missing, and how many ran twice
   */
  int[] lostAndDoubled() throws IOException, InterruptedException {
    int lost = 0;
    int doubled = 0;
    for (var entry : acknowledgedByKey.entrySet()) {
      Optional<JsonNode> stored = read(entry.getKey());
      Map<Integer, Integer> counts = new HashMap<>();
      stored.ifPresent(items -> items.forEach(i -> counts.merge(i.asInt(), 1, Integer::sum)));
      lost += (int) entry.getValue().stream().filter(id -> !counts.containsKey(id)).count();
      doubled += (int) counts.values().stream().filter(count -> count > 1).count();
    }
    return new int[] {lost, doubled};
  }

  private Optional<JsonNode> read(String key) throws IOException, InterruptedException {
    for (int attempt = 0; attempt < 100; attempt++) {
      HttpResponse<byte[]> answer = send(key, "get", 0);
      if (answer.statusCode() == 200) {
        return Optional.of(BackendJson.parse(answer.body()).path("result"));
      }
      Thread.sleep(100);
    }
    return Optional.empty();
  }
}
