package org.alderyard.proxy.read;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.alderyard.proxy.freshness.FreshnessMode;
import org.alderyard.proxy.limit.RefusalReason;
import org.alderyard.proxy.limit.ServerLimiters;
import org.alderyard.proxy.routing.RoutingReason;

/**
 * Metrics of reads and of the limiters of backend servers.
 *
 * <p>Labels are only modes and reasons, with at most 4 by 10 combinations. Pools, groups and
 * callers are not used as labels, because their number grows with the number of users.
 */
public final class ReadMetrics {
  private final PrometheusRegistry registry;
  private final Counter decisions;
  private final Counter refusals;
  private final Counter ejections;
  private final Counter staleAnswers;
  private final Counter resends;
  private final Histogram ageBound;
  private final DistributionDataPoint limiterWait;
  private final DistributionDataPoint connectionWait;
  private final DistributionDataPoint atServer;
  private final Histogram callerThreadDelay;

  /** Registers the counters and the histogram with the registry. */
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
    ageBound =
        Histogram.builder()
            .name("alderyard_replica_age_bound")
            .unit(Unit.SECONDS)
            .help("Age bound of the data that replicas answered with.")
            .classicUpperBounds(0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60)
            .classicOnly()
            .register(registry);
    Histogram stages =
        durations("alderyard_statement_stage", "Parts of a statement's time.")
            .labelNames("stage")
            .register(registry);
    limiterWait = stages.labelValues("limiter");
    connectionWait = stages.labelValues("connection");
    atServer = stages.labelValues("at-server");
    callerThreadDelay =
        durations(
                "alderyard_caller_thread_delay",
                "How long a task waits for an I/O thread of the callers' port.")
            .register(registry);
  }

  private static Histogram.Builder durations(String name, String help) {
    return Histogram.builder()
        .name(name)
        .unit(Unit.SECONDS)
        .help(help)
        .classicUpperBounds(0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
        .classicOnly();
  }

  private Counter counter(String name, String help) {
    return Counter.builder().name(name).help(help).register(registry);
  }

  /** Registers the gauges of the limiters. */
  public void registerGauges(ServerLimiters limiters) {
    gauge("alderyard_statements_queued", "Statements that wait for a server.", limiters::queued);
    gauge("alderyard_statements_in_flight", "Statements that run at servers.", limiters::inFlight);
  }

  private void gauge(String name, String help, java.util.function.IntSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsInt()))
        .register(registry);
  }

  void recordDecision(FreshnessMode mode, RoutingReason reason) {
    decisions.labelValues(lowerCaseName(mode), lowerCaseName(reason)).inc();
  }

  /** Counts a statement that a limiter rejected. */
  public void recordRefusal(RefusalReason reason) {
    refusals.labelValues(lowerCaseName(reason)).inc();
  }

  void recordEjection() {
    ejections.inc();
  }

  void recordStaleAnswer() {
    staleAnswers.inc();
  }

  void recordResend() {
    resends.inc();
  }

  void recordAge(long millis) {
    ageBound.observe(millis / 1000.0);
  }

  void recordLimiterWait(long durationNanos) {
    limiterWait.observe(seconds(durationNanos));
  }

  void recordConnectionWait(long durationNanos) {
    connectionWait.observe(seconds(durationNanos));
  }

  void recordServerTime(long durationNanos) {
    atServer.observe(seconds(durationNanos));
  }

  /** Records how long a task waited for an I/O thread of the callers' port. */
  public void recordCallerThreadDelay(long durationNanos) {
    callerThreadDelay.observe(seconds(durationNanos));
  }

  private static double seconds(long nanos) {
    return nanos / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private static String lowerCaseName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
