package org.alderyard.cli.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.common.http.Json;

/** Attacks on backend servers. */
final class ServerFaults {
  private static final Duration SHORT = Duration.ofMillis(2_500);
  private static final Duration LEAVING_GRACE = Duration.ofMillis(2_000);
  private static final Duration LEAVING_WATCH = Duration.ofMillis(1_500);
  private static final int DROP_EVERY = 7;
  private static final int FAR_LAG_MILLIS = 1_500;

  private ServerFaults() {}

  static List<Fault> all() {
    return List.of(
        new Fault("kill a primary, start it again", ServerFaults::killPrimary),
        new Fault("pause a primary, let it wake up", ServerFaults::pausePrimary),
        new Fault("cut a primary off, let it return", ServerFaults::cutPrimary),
        new Fault("lose every 7th answer of a primary", ServerFaults::loseAnswers),
        new Fault("let all servers lag by 1.5 s", ServerFaults::lagAll),
        new Fault("let a replica leave, start it again", ServerFaults::leave));
  }

  private static String somePrimary(LocalSystem system, FaultContext context) {
    return system.awaitPrimaryOf(context.oneOf(system.plan().groups()));
  }

  /** A primary dies and comes back with the log as its death left it. */
  private static void killPrimary(LocalSystem system, FaultContext context) {
    String primary = somePrimary(system, context);
    system.killServer(primary);
    context.last(SHORT);
    system.restartServer(primary);
  }

  /** A primary stands still, is replaced, and wakes up with answers to send. */
  private static void pausePrimary(LocalSystem system, FaultContext context) {
    String primary = somePrimary(system, context);
    system.pause(primary);
    context.last(SHORT);
    system.resume(primary);
  }

  /** A primary is cut off from everybody and returns. */
  private static void cutPrimary(LocalSystem system, FaultContext context) {
    String primary = somePrimary(system, context);
    system.switchServer(primary, Json.object().put("unreachable", true));
    context.last(SHORT);
    system.switchServer(primary, Json.object().put("unreachable", false));
  }

  /** Answers are lost after their statements ran: the outcome is in doubt. */
  private static void loseAnswers(LocalSystem system, FaultContext context) {
    String primary = somePrimary(system, context);
    system.switchServer(primary, Json.object().put("dropEveryNth", DROP_EVERY));
    context.last(SHORT);
    system.switchServer(primary, Json.object().put("dropEveryNth", 0));
  }

  /** All replicas fall behind. */
  private static void lagAll(LocalSystem system, FaultContext context) {
    lag(system, FAR_LAG_MILLIS);
    context.last(SHORT);
    lag(system, system.plan().applyLagMillis());
  }

  private static void lag(LocalSystem system, int millis) {
    JsonNode switches = Json.object().put("applyLagMillis", millis);
    system.serverNames().forEach(server -> system.switchServer(server, switches));
  }

  /** A server announces that it leaves; two seconds later it must get no new statement. */
  private static void leave(LocalSystem system, FaultContext context) {
    String group = context.oneOf(system.plan().groups());
    String primary = system.awaitPrimaryOf(group);
    String replica =
        context.oneOf(
            system.serverNames().stream()
                .filter(name -> name.startsWith(group) && !name.equals(primary))
                .toList());
    system.switchServer(replica, Json.object().put("leave", true));
    context.last(LEAVING_GRACE);
    Optional<Integer> before = statements(system, replica);
    context.last(LEAVING_WATCH);
    Optional<Integer> after = statements(system, replica);
    if (before.isPresent() && after.isPresent()) {
      context.leavingServer.record(before.equals(after));
    }
    system.killServer(replica);
    system.restartServer(replica);
  }

  private static Optional<Integer> statements(LocalSystem system, String server) {
    return system
        .switchServer(server, Json.object())
        .map(answer -> answer.path("statements").asInt());
  }
}
