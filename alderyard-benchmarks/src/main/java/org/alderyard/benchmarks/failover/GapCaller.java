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

/** Caller that writes to one group continuously and records every acknowledgement. */
final class GapCaller implements Runnable {
  /** Simulated one-way network delay between a caller and its proxy. */
  private static final long ONE_WAY_MILLIS = 3;

  private static final long WRITE_INTERVAL_MILLIS = 10;
  private static final int WRITES_PER_KEY = 100;
  private static final int DEADLINE_MILLIS = 5_000;

  /**
   * An acknowledged write.
   *
   * @param atNanos time at which the caller received the acknowledgement, in nanoseconds
   * @param server the server that ran the write
   */
  record Acknowledged(long atNanos, String server) {}

  private final HttpClient http;
  private final InetSocketAddress proxy;
  private final String pool;
  private final String name;
  private final List<Acknowledged> acknowledged = new CopyOnWriteArrayList<>();
  private final Map<String, Set<Integer>> acknowledgedByKey = new HashMap<>();
  private volatile boolean stopped;
  private volatile String lastError = "none";
  private int writeNumber;
  private int unknownOutcomes;

  GapCaller(HttpClient http, InetSocketAddress proxy, String pool, String name) {
    this.http = http;
    this.proxy = proxy;
    this.pool = pool;
    this.name = name;
  }

  List<Acknowledged> acknowledged() {
    return acknowledged;
  }

  /** Discards the recorded acknowledgements, to bound the memory use of a long run. */
  void clear() {
    acknowledged.clear();
  }

  /** Returns the body of the last error response; "none" if there was none. */
  String lastError() {
    return lastError;
  }

  int unknownOutcomes() {
    return unknownOutcomes;
  }

  int total() {
    return acknowledgedByKey.values().stream().mapToInt(Set::size).sum();
  }

  void end() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      writeNumber++;
      String key = name + "-" + writeNumber / WRITES_PER_KEY;
      try {
        Thread.sleep(ONE_WAY_MILLIS);
        HttpResponse<byte[]> response = send(key, "append", writeNumber);
        Thread.sleep(ONE_WAY_MILLIS);
        recordResponse(key, response);
        Thread.sleep(WRITE_INTERVAL_MILLIS);
      } catch (IOException failure) {
        unknownOutcomes++;
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private void recordResponse(String key, HttpResponse<byte[]> response) {
    JsonNode body = BackendJson.parse(response.body());
    if (response.statusCode() == 200) {
      String server = body.path("servedBy").path("server").asText();
      acknowledgedByKey.computeIfAbsent(key, absent -> new TreeSet<>()).add(writeNumber);
      acknowledged.add(new Acknowledged(System.nanoTime(), server));
    } else {
      lastError = body.toString();
      unknownOutcomes +=
          body.path("error").path("outcome").asText().equals("OUTCOME_UNKNOWN") ? 1 : 0;
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
   * Reads all keys and compares them with the acknowledged writes.
   *
   * @return the number of missing acknowledged writes, then the number of writes that ran more than
   *     once
   */
  int[] countLostAndDuplicate() throws IOException, InterruptedException {
    int lost = 0;
    int duplicates = 0;
    for (var entry : acknowledgedByKey.entrySet()) {
      Optional<JsonNode> stored = read(entry.getKey());
      Map<Integer, Integer> counts = new HashMap<>();
      stored.ifPresent(items -> items.forEach(i -> counts.merge(i.asInt(), 1, Integer::sum)));
      lost += (int) entry.getValue().stream().filter(id -> !counts.containsKey(id)).count();
      duplicates += (int) counts.values().stream().filter(count -> count > 1).count();
    }
    return new int[] {lost, duplicates};
  }

  private Optional<JsonNode> read(String key) throws IOException, InterruptedException {
    for (int attempt = 0; attempt < 100; attempt++) {
      HttpResponse<byte[]> response = send(key, "get", 0);
      if (response.statusCode() == 200) {
        return Optional.of(BackendJson.parse(response.body()).path("result"));
      }
      Thread.sleep(100);
    }
    return Optional.empty();
  }
}
