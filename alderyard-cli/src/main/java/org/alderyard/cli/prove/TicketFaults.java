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

/** Ticket load by operators: ticket bursts, conflicting ticket numbers, and resent tickets. */
final class TicketFaults {
  private static final String TICKET_TEMPLATE =
      """
      {"objects":[{"kind":"pool","name":"%s","groups":["group-1"],"maxStalenessMillis":%d}]}
      """;
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(9);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final int BURST_SIZE = 15;

  private TicketFaults() {}

  static List<Fault> all() {
    AtomicInteger numbers = new AtomicInteger(100);
    return List.of(
        new Fault(
            "two operators race with one ticket number",
            (system, context) -> submitConflicting(numbers.incrementAndGet(), system, context)),
        new Fault(
            "a storm of 15 tickets", (system, context) -> submitBurst(numbers, system, context)));
  }

  private static String poolTicket(String name, int maxStalenessMillis) {
    return TICKET_TEMPLATE.formatted(name, maxStalenessMillis);
  }

  private static Optional<JsonNode> put(LocalSystem system, int host, int number, String body) {
    return system.http().putAllowingError(system.operatorPort(host), "/v1/tickets/" + number, body);
  }

  private static String errorCode(Optional<JsonNode> answer) {
    return answer.map(body -> body.path("error").path("code").asText("")).orElse("LOST");
  }

  /** Submits two tickets with the same number and different content concurrently. */
  private static void submitConflicting(int number, LocalSystem system, FaultContext context) {
    int hosts = system.plan().hosts();
    CompletableFuture<Optional<JsonNode>> first =
        CompletableFuture.supplyAsync(
            () -> put(system, context.nextInt(hosts), number, poolTicket("raced", 1)));
    CompletableFuture<Optional<JsonNode>> second =
        CompletableFuture.supplyAsync(
            () -> put(system, context.nextInt(hosts), number, poolTicket("raced", 2)));
    boolean bothAccepted = errorCode(first.join()).isEmpty() && errorCode(second.join()).isEmpty();
    context.tickets.record(!bothAccepted);
    // After resending both tickets, exactly one of the contents must be accepted.
    String firstAgain = errorCode(putUntilSettled(system, context, number, poolTicket("raced", 1)));
    String secondAgain =
        errorCode(putUntilSettled(system, context, number, poolTicket("raced", 2)));
    boolean oneConflict =
        firstAgain.equals("TICKET_CONFLICT") != secondAgain.equals("TICKET_CONFLICT");
    context.tickets.record(oneConflict);
  }

  private static Optional<JsonNode> putUntilSettled(
      LocalSystem system, FaultContext context, int number, String body) {
    for (int attempt = 0; attempt < 100; attempt++) {
      Optional<JsonNode> answer = put(system, context.nextInt(system.plan().hosts()), number, body);
      if (errorCode(answer).isEmpty() || errorCode(answer).equals("TICKET_CONFLICT")) {
        return answer;
      }
      context.sleep(POLL_INTERVAL);
    }
    return Optional.empty();
  }

  /**
   * Submits a burst of tickets. The last accepted ticket must reach every host within 9 s, and no
   * host may return to an older ticket.
   */
  private static void submitBurst(AtomicInteger numbers, LocalSystem system, FaultContext context) {
    int staleness = 0;
    for (int ticket = 0; ticket < BURST_SIZE; ticket++) {
      int number = numbers.incrementAndGet();
      int host = context.nextInt(system.plan().hosts());
      boolean accepted =
          errorCode(put(system, host, number, poolTicket("storm", number))).isEmpty();
      staleness = accepted ? number : staleness;
    }
    if (staleness > 0) {
      context.tickets.record(inForceEverywhere(system, context, staleness));
    }
  }

  private static boolean inForceEverywhere(
      LocalSystem system, FaultContext context, int staleness) {
    long endMillis = context.nowMillis() + IN_FORCE_TIMEOUT.toMillis();
    Map<Integer, Integer> highestByHost = new HashMap<>();
    while (context.nowMillis() < endMillis) {
      for (int host = 0; host < system.plan().hosts(); host++) {
        int current = stalenessAt(system, host);
        if (current >= 0 && current < highestByHost.getOrDefault(host, 0)) {
          return false;
        }
        highestByHost.merge(host, current, Math::max);
      }
      if (highestByHost.values().stream().allMatch(value -> value >= staleness)) {
        return true;
      }
      context.sleep(POLL_INTERVAL);
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
