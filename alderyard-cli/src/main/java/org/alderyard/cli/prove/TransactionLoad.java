package org.alderyard.cli.prove;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.alderyard.cli.local.LocalHttp;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.common.http.Json;

/**
 * Generates transactions whose requests go through different proxies. Each transaction appends two
 * values to a shared list. A commit is a single log entry, so the list contains both values next to
 * each other, or neither. Interleaved values show that two transactions shared a connection.
 */
final class TransactionLoad {
  private static final int KEY_COUNT = 6;
  private static final long PAUSE_NANOS = 30_000_000;
  private static final int FINAL_READ_ATTEMPTS = 100;

  private final LocalSystem system;
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final List<Thread> threads = new ArrayList<>();
  private final Set<String> committed = java.util.concurrent.ConcurrentHashMap.newKeySet();
  private final AtomicInteger begun = new AtomicInteger();

  TransactionLoad(LocalSystem system) {
    this.system = system;
  }

  void start(int callers) {
    for (int caller = 0; caller < callers; caller++) {
      int number = caller;
      Thread thread = new Thread(() -> runCaller(number), "prove-transactions");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void runCaller(int caller) {
    for (int round = 0; !stopped.get(); round++) {
      runTransaction(caller, round);
      LockSupport.parkNanos(PAUSE_NANOS);
    }
  }

  private void runTransaction(int caller, int round) {
    String value = "tx-" + caller + "-" + round;
    String key = key(round % KEY_COUNT);
    Optional<String> id =
        post(proxy(round), "", Json.object().put("key", key))
            .map(answer -> answer.path("transactionId").asText());
    if (id.isEmpty()) {
      return;
    }
    begun.incrementAndGet();
    boolean appended =
        append(proxy(round + 1), id.get(), key, value + "-a")
            && append(proxy(round + 2), id.get(), key, value + "-b");
    if (!appended) {
      post(proxy(round), "/" + id.get() + "/rollback", Json.object());
      return;
    }
    if (post(proxy(round + 3), "/" + id.get() + "/commit", Json.object()).isPresent()) {
      committed.add(value);
    }
  }

  private static String key(int number) {
    return "transactions-" + number;
  }

  private boolean append(InetSocketAddress proxy, String id, String key, String value) {
    ObjectNode statement =
        Json.object().put("key", key).put("kind", "write").put("statement", "append");
    statement.putArray("parameters").add(value);
    return post(proxy, "/" + id + "/statements", statement).isPresent();
  }

  private Optional<JsonNode> post(InetSocketAddress proxy, String path, JsonNode body) {
    LocalHttp http = system.http();
    return http.post(proxy, "/v1/pools/" + LocalSystem.POOLS.get(1) + "/transactions" + path, body);
  }

  private InetSocketAddress proxy(int number) {
    return system.callerPorts().get(number % system.callerPorts().size());
  }

  /** Stops the load, and counts the inconsistent transactions and lost commits. */
  Result stop() {
    stopped.set(true);
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    int broken = 0;
    int unread = 0;
    Set<String> found = new HashSet<>();
    for (int key = 0; key < KEY_COUNT; key++) {
      Optional<List<String>> list = read(key(key));
      unread += list.isPresent() ? 0 : 1;
      broken += countBrokenPairs(list.orElse(List.of()), found);
    }
    long lost = committed.stream().filter(value -> !found.contains(value)).count();
    return new Result(begun.get(), unread == 0 ? broken + (int) lost : broken, unread);
  }

  private static int countBrokenPairs(List<String> list, Set<String> found) {
    int broken = 0;
    for (int i = 0; i < list.size(); i += 2) {
      String first = list.get(i);
      String value = first.substring(0, first.length() - 2);
      boolean pair =
          first.endsWith("-a")
              && i + 1 < list.size()
              && list.get(i + 1).equals(value + "-b")
              && found.add(value);
      broken += pair ? 0 : 1;
    }
    return broken;
  }

  private Optional<List<String>> read(String key) {
    ObjectNode statement =
        Json.object().put("key", key).put("kind", "read").put("statement", "get");
    statement.putObject("freshness").put("mode", "primary");
    String path = "/v1/pools/" + LocalSystem.POOLS.get(1) + "/statements";
    for (int attempt = 0; attempt < FINAL_READ_ATTEMPTS; attempt++) {
      Optional<JsonNode> answer = system.http().post(proxy(attempt), path, statement);
      if (answer.isPresent()) {
        List<String> values = new ArrayList<>();
        answer.get().path("result").forEach(value -> values.add(value.asText()));
        return Optional.of(values);
      }
      LockSupport.parkNanos(PAUSE_NANOS);
    }
    return Optional.empty();
  }

  /**
   * The results of the transactions.
   *
   * @param begun number of transactions that were started
   * @param broken number of partial, interleaved, duplicate or lost transactions
   * @param unreadKeys number of lists that could not be read at the end
   */
  record Result(int begun, int broken, int unreadKeys) {}
}
