package org.alderyard.cli.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.common.http.Json;

/** Faults of backend servers. */
final class ServerFaults {
  private static final Duration FAULT_DURATION = Duration.ofMillis(2_500);
  private static final Duration LEAVING_GRACE = Duration.ofMillis(2_000);
  private static final Duration LEAVING_OBSERVATION = Duration.ofMillis(1_500);
  private static final int DROP_EVERY_NTH = 7;
  private static final int HIGH_LAG_MILLIS = 1_500;

  private ServerFaults() {}

  static List<Fault> all() {
    return List.of(
        new Fault("kill a primary, start it again", ServerFaults::killPrimary),
        new Fault("pause a primary, let it wake up", ServerFaults::pausePrimary),
        new Fault("cut a primary off, let it return", ServerFaults::cutPrimary),
        new Fault("lose every 7th answer of a primary", ServerFaults::dropResponses),
        new Fault("let all servers lag by 1.5 s", ServerFaults::lagAll),
        new Fault("let a replica leave, start it again", ServerFaults::leaveAndRestart));
  }

  private static String randomPrimary(LocalSystem system, FaultContext context) {
    return system.awaitPrimaryOf(context.choose(system.plan().groups()));
  }

  /** Kills a primary and restarts it with its existing log. */
  private static void killPrimary(LocalSystem system, FaultContext context) {
    String primary = randomPrimary(system, context);
    system.killServer(primary);
    context.sleep(FAULT_DURATION);
    system.restartServer(primary);
  }

  /** Suspends a primary, which is replaced and resumes with unsent responses. */
  private static void pausePrimary(LocalSystem system, FaultContext context) {
    String primary = randomPrimary(system, context);
    system.pause(primary);
    context.sleep(FAULT_DURATION);
    system.resume(primary);
  }

  /** Makes a primary unreachable for all hosts and servers for a limited time. */
  private static void cutPrimary(LocalSystem system, FaultContext context) {
    String primary = randomPrimary(system, context);
    system.switchServer(primary, Json.object().put("unreachable", true));
    context.sleep(FAULT_DURATION);
    system.switchServer(primary, Json.object().put("unreachable", false));
  }

  /** Drops responses after statements ran, so that the outcomes are unknown. */
  private static void dropResponses(LocalSystem system, FaultContext context) {
    String primary = randomPrimary(system, context);
    system.switchServer(primary, Json.object().put("dropEveryNth", DROP_EVERY_NTH));
    context.sleep(FAULT_DURATION);
    system.switchServer(primary, Json.object().put("dropEveryNth", 0));
  }

  /** Increases the apply lag of all servers, so that every replica falls behind. */
  private static void lagAll(LocalSystem system, FaultContext context) {
    setLag(system, HIGH_LAG_MILLIS);
    context.sleep(FAULT_DURATION);
    setLag(system, system.plan().applyLagMillis());
  }

  private static void setLag(LocalSystem system, int millis) {
    JsonNode switches = Json.object().put("applyLagMillis", millis);
    system.serverNames().forEach(server -> system.switchServer(server, switches));
  }

  /** Makes a replica announce that it leaves; after 2 s it must receive no new statements. */
  private static void leaveAndRestart(LocalSystem system, FaultContext context) {
    String group = context.choose(system.plan().groups());
    String primary = system.awaitPrimaryOf(group);
    String replica =
        context.choose(
            system.serverNames().stream()
                .filter(name -> name.startsWith(group) && !name.equals(primary))
                .toList());
    system.switchServer(replica, Json.object().put("leave", true));
    context.sleep(LEAVING_GRACE);
    Optional<Integer> before = statementCount(system, replica);
    context.sleep(LEAVING_OBSERVATION);
    Optional<Integer> after = statementCount(system, replica);
    if (before.isPresent() && after.isPresent()) {
      context.leavingServer.record(before.equals(after));
    }
    system.killServer(replica);
    system.restartServer(replica);
  }

  private static Optional<Integer> statementCount(LocalSystem system, String server) {
    return system
        .switchServer(server, Json.object())
        .map(answer -> answer.path("statements").asInt());
  }
}
