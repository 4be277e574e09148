package org.alderyard.cli.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.cli.local.LocalSystem;

/** Attacks by operators: many tickets, the same number twice, tickets sent again. */
final class TicketFaults {
  private static final String TICKET =
      """
      {"objects":[{"kind":"pool","name":"%s","groups":["group-1"],"maxStalenessMillis":%d}]}
      """;
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(9);
  private static final Duration POLL = Duration.ofMillis(50);
  private static final int STORM = 15;

  private TicketFaults() {}

  static List<Fault> all() {
    AtomicInteger numbers = new AtomicInteger(100);
    return List.of(
        new Fault(
            "two operators race with one ticket number",
            (system, context) -> race(numbers.incrementAndGet(), system, context)),
        new Fault("a storm of 15 tickets", (system, context) -> storm(numbers, system, context)));
  }

  private static String pool(String name, int maxStalenessMillis) {
    return TICKET.formatted(name, maxStalenessMillis);
  }

  private static Optional<JsonNode> put(LocalSystem system, int host, int number, String body) {
    return system.http().putAllowingError(system.operatorPort(host), "/v1/tickets/" + number, body);
  }

  private static String code(Optional<JsonNode> answer) {
    return answer.map(body -> body.path("error").path("code").asText("")).orElse("LOST");
  }

  /** Two operators send one number with different content through two hosts at once. */
  private static void race(int number, LocalSystem system, FaultContext context) {
    int hosts = system.plan().hosts();
    CompletableFuture<Optional<JsonNode>> first =
        CompletableFuture.supplyAsync(
            () -> put(system, context.number(hosts), number, pool("raced", 1)));
    CompletableFuture<Optional<JsonNode>> second =
        CompletableFuture.supplyAsync(
            () -> put(system, context.number(hosts), number, pool("raced", 2)));
    boolean bothAccepted = code(first.join()).isEmpty() && code(second.join()).isEmpty();
    context.tickets.record(!bothAccepted);
    // Sent again after all: exactly one content may be the accepted one.
    String firstAgain = code(settled(system, context, number, pool("raced", 1)));
    String secondAgain = code(settled(system, context, number, pool("raced", 2)));
    boolean oneConflict =
        firstAgain.equals("TICKET_CONFLICT") != secondAgain.equals("TICKET_CONFLICT");
    context.tickets.record(oneConflict);
  }

  private static Optional<JsonNode> settled(
      LocalSystem system, FaultContext context, int number, String body) {
    for (int attempt = 0; attempt < 100; attempt++) {
      Optional<JsonNode> answer = put(system, context.number(system.plan().hosts()), number, body);
      if (code(answer).isEmpty() || code(answer).equals("TICKET_CONFLICT")) {
        return answer;
      }
      context.last(POLL);
    }
    return Optional.empty();
  }

  /** Many tickets in a row; each must be on every host within seconds, and no host goes back. */
  private static void storm(AtomicInteger numbers, LocalSystem system, FaultContext context) {
    int staleness = 0;
    for (int ticket = 0; ticket < STORM; ticket++) {
      int number = numbers.incrementAndGet();
      int host = context.number(system.plan().hosts());
      boolean accepted = code(put(system, host, number, pool("storm", number))).isEmpty();
      staleness = accepted ? number : staleness;
    }
    if (staleness > 0) {
      context.tickets.record(inForceEverywhere(system, context, staleness));
    }
  }

  private static boolean inForceEverywhere(
      LocalSystem system, FaultContext context, int staleness) {
    long endMillis = context.nowMillis() + IN_FORCE_LIMIT.toMillis();
    Map<Integer, Integer> seen = new HashMap<>();
    while (context.nowMillis() < endMillis) {
      for (int host = 0; host < system.plan().hosts(); host++) {
        int now = stalenessAt(system, host);
        if (now >= 0 && now < seen.getOrDefault(host, 0)) {
          return false;
        }
        seen.merge(host, now, Math::max);
      }
      if (seen.values().stream().allMatch(value -> value >= staleness)) {
        return true;
      }
      context.last(POLL);
    }
    return false;
  }

  private static int stalenessAt(LocalSystem system, int host) {
    Optional<JsonNode> pools = system.http().get(system.operatorPort(host), "/v1/pools");
    for (JsonNode pool : pools.map(body -> body.path("pools")).map(List::of).orElse(List.of())) {
      for (JsonNode node : pool) {
        if (node.path("name").asText().equals("storm")) {
          return node.path("maxStalenessMillis").asInt();
        }
      }
    }
    return -1;
  }
}
