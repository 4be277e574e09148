package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.Locale;
import java.util.function.ToIntFunction;
import org.alderyard.proxy.serverhealth.GroupHealth;
import org.alderyard.proxy.serverhealth.HealthEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the decisions about the health of servers, outside of the locks under which they
 * are taken. Each decision is one line; a group keeps a bounded number of them between two calls.
 */
final class HealthLog {
  private static final Logger log = LoggerFactory.getLogger(HealthLog.class);

  /** Time that decisions may wait for their lines. */
  private static final Duration INTERVAL = Duration.ofMillis(500);

  private final SessionContext context;
  private final GroupRoutings routings;
  private final SessionMetrics metrics;

  HealthLog(SessionContext context) {
    this.context = context;
    routings = context.routings();
    metrics = context.metrics();
  }

  /** Registers the gauges and starts to log. */
  void start() {
    registerGauges();
    context.workers().scheduleRepeatedly(INTERVAL, this::drain);
  }

  private void registerGauges() {
    metrics.gauge(
        "alderyard_servers_ejected",
        "Servers that get no reads from this host.",
        () -> sum(GroupHealth::ejectedCount));
    metrics.gauge(
        "alderyard_servers_paced",
        "Servers whose concurrent statements are bounded after a start.",
        () -> sum(GroupHealth::boundedCount));
  }

  private int sum(ToIntFunction<GroupHealth> count) {
    return routings.all().stream()
        .mapToInt(routing -> routing.queryHealth(count::applyAsInt))
        .sum();
  }

  private void drain() {
    for (GroupRouting routing : routings.all()) {
      for (HealthEvent event : routing.queryHealth(GroupHealth::takeEvents)) {
        String change = event.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        metrics.countHealthChange(change);
        log.info(
            "event=server-health change={} server={} incarnation={} reason={} failed-share={}"
                + " mean-millis={} peer-millis={} span-millis={}",
            change,
            event.server(),
            event.incarnation(),
            event.reason(),
            rounded(event.failedShare()),
            rounded(event.meanMillis()),
            rounded(event.peerMillis()),
            event.spanMillis());
      }
    }
  }

  private static String rounded(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
