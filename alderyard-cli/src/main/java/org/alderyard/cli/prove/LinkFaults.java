package org.alderyard.cli.prove;

import java.time.Duration;
import java.util.List;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.cli.local.LoopbackLink;

/** Attacks on the network between hosts, and between hosts and servers. */
final class LinkFaults {
  /** Longer than requests between hosts wait, shorter than leases last. */
  private static final Duration CUT = Duration.ofMillis(2_500);

  private static final Duration SLOW = Duration.ofMillis(3_000);
  private static final long DELAY_MILLIS = 120;

  private LinkFaults() {}

  static List<Fault> all() {
    return List.of(
        new Fault("delay what hosts send to a host", (s, c) -> delay(hostLink(s, c), c)),
        new Fault("delay what goes to a server", (s, c) -> delay(serverLink(s, c), c)),
        new Fault("break the connections to a host", (s, c) -> hostLink(s, c).reset()),
        new Fault("break the connections to a server", (s, c) -> serverLink(s, c).reset()),
        new Fault("open connections to a host go silent", (s, c) -> hostLink(s, c).blackhole()),
        new Fault("open connections to a server go silent", (s, c) -> serverLink(s, c).blackhole()),
        new Fault("cut a host off, one way", (s, c) -> cut(hostLink(s, c), c, false)),
        new Fault("cut a host's answers off", (s, c) -> cut(hostLink(s, c), c, true)),
        new Fault("cut a primary off", (s, c) -> cut(primaryLink(s, c), c, c.number(2) == 0)));
  }

  private static LoopbackLink hostLink(LocalSystem system, FaultContext context) {
    return context.oneOf(system.hostLinks());
  }

  private static LoopbackLink serverLink(LocalSystem system, FaultContext context) {
    return system.serverLink(context.oneOf(system.serverNames())).orElseThrow();
  }

  private static LoopbackLink primaryLink(LocalSystem system, FaultContext context) {
    String group = context.oneOf(system.plan().groups());
    return system
        .primaryOf(group)
        .flatMap(system::serverLink)
        .orElseGet(() -> serverLink(system, context));
  }

  private static void delay(LoopbackLink link, FaultContext context) {
    link.setDelay(1 + context.number((int) DELAY_MILLIS));
    context.last(SLOW);
    link.setDelay(0);
  }

  private static void cut(LoopbackLink link, FaultContext context, boolean answers) {
    link.hold(!answers, answers);
    context.last(CUT);
    link.hold(false, false);
  }
}
