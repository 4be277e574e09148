package org.alderyard.cli.prove;

import java.time.Duration;
import java.util.List;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.cli.local.LoopbackLink;

/** Faults of the network between hosts, and between hosts and servers. */
final class LinkFaults {
  /** Longer than the timeout of requests between hosts, and shorter than the duration of leases. */
  private static final Duration PARTITION_DURATION = Duration.ofMillis(2_500);

  private static final Duration DELAY_DURATION = Duration.ofMillis(3_000);
  private static final long MAX_DELAY_MILLIS = 120;

  private LinkFaults() {}

  static List<Fault> all() {
    return List.of(
        new Fault("delay what hosts send to a host", (s, c) -> delay(hostLink(s, c), c)),
        new Fault("delay what goes to a server", (s, c) -> delay(serverLink(s, c), c)),
        new Fault("break the connections to a host", (s, c) -> hostLink(s, c).reset()),
        new Fault("break the connections to a server", (s, c) -> serverLink(s, c).reset()),
        new Fault("open connections to a host go silent", (s, c) -> hostLink(s, c).blackhole()),
        new Fault("open connections to a server go silent", (s, c) -> serverLink(s, c).blackhole()),
        new Fault("cut a host off, one way", (s, c) -> partition(hostLink(s, c), c, false)),
        new Fault("cut a host's answers off", (s, c) -> partition(hostLink(s, c), c, true)),
        new Fault(
            "cut a primary off", (s, c) -> partition(primaryLink(s, c), c, c.nextInt(2) == 0)));
  }

  private static LoopbackLink hostLink(LocalSystem system, FaultContext context) {
    return context.choose(system.hostLinks());
  }

  private static LoopbackLink serverLink(LocalSystem system, FaultContext context) {
    return system.serverLink(context.choose(system.serverNames())).orElseThrow();
  }

  private static LoopbackLink primaryLink(LocalSystem system, FaultContext context) {
    String group = context.choose(system.plan().groups());
    return system
        .primaryOf(group)
        .flatMap(system::serverLink)
        .orElseGet(() -> serverLink(system, context));
  }

  private static void delay(LoopbackLink link, FaultContext context) {
    link.setDelay(1 + context.nextInt((int) MAX_DELAY_MILLIS));
    context.sleep(DELAY_DURATION);
    link.setDelay(0);
  }

  private static void partition(LoopbackLink link, FaultContext context, boolean fromTarget) {
    link.hold(!fromTarget, fromTarget);
    context.sleep(PARTITION_DURATION);
    link.hold(false, false);
  }
}
