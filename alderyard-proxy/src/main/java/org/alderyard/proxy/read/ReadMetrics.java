package org.alderyard.proxy.read;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.util.Locale;
import org.alderyard.proxy.freshness.FreshnessMode;
import org.alderyard.proxy.limit.Gates;
import org.alderyard.proxy.limit.RefusalReason;
import org.alderyard.proxy.routing.RoutingReason;

/**
 * The metrics of reads and limits.
 *
 * <p>Labels are modes and reasons only, 4 by 10 at most: pools, groups and callers are not labels,
 * since their number grows with the users.
 */
public final class ReadMetrics {
  private final PrometheusRegistry registry;
  private final Counter decisions;
  private final Counter refusals;
  private final Counter ejections;
  private final Counter staleAnswers;
  private final Counter resends;
  private final Histogram age;

  /** Registers the metrics. */
  public ReadMetrics(PrometheusRegistry registry) {
    this.registry = registry;
    decisions =
        Counter.builder()
            .name("alderyard_read_decisions")
            .help("Routing decisions of reads.")
            .labelNames("mode", "reason")
            .register(registry);
    refusals =
        Counter.builder()
            .name("alderyard_gate_refusals")
            .help("Statements that were refused before they were sent.")
            .labelNames("reason")
            .register(registry);
    ejections = counter("alderyard_server_ejections", "Servers that were ejected for failing.");
    staleAnswers =
        counter("alderyard_stale_answers", "Answers that were older than demanded and dropped.");
    resends = counter("alderyard_read_resends", "Reads that were sent again after a failure.");
    age =
        Histogram.builder()
            .name("alderyard_replica_age_bound")
            .unit(Unit.SECONDS)
            .help("Age bound of the data that replicas answered with.")
            .classicUpperBounds(0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60)
            .classicOnly()
            .register(registry);
  }

  private Counter counter(String name, String help) {
    return Counter.builder().name(name).help(help).register(registry);
  }

  /** Adds the gauges of the gates. */
  public void watch(Gates gates) {
    gauge("alderyard_statements_queued", "Statements that wait for a server.", gates::queued);
    gauge("alderyard_statements_in_flight", "Statements that run at servers.", gates::inFlight);
  }

  private void gauge(String name, String help, java.util.function.IntSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsInt()))
        .register(registry);
  }

  void decided(FreshnessMode mode, RoutingReason reason) {
    decisions.labelValues(lower(mode), lower(reason)).inc();
  }

  /** Counts a refusal of a gate. */
  public void refused(RefusalReason reason) {
    refusals.labelValues(lower(reason)).inc();
  }

  void ejected() {
    ejections.inc();
  }

  void staleAnswer() {
    staleAnswers.inc();
  }

  void resent() {
    resends.inc();
  }

  void answeredWithAge(long millis) {
    age.observe(millis / 1000.0);
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
