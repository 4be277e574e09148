package org.alderyard.proxy.callersession;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.common.view.SessionReads;

/**
 * Metrics of caller sessions.
 *
 * <p>Labels have only enum values, in at most 3 by 15 combinations. Databases, groups, servers and
 * callers are not labels, since their number grows with the users.
 */
final class SessionMetrics {
  private static final String DONE = "done";

  private final Counter statements;
  private final Counter attemptsNotRun;
  private final Histogram tries;
  private final Counter forwarded;
  private final Counter readResends;
  private final Counter lostReplies;
  private final Counter healthChanges;
  private final Map<SessionReads, DistributionDataPoint> durations =
      new EnumMap<>(SessionReads.class);
  private final DistributionDataPoint atServer;
  private final DistributionDataPoint connectionWait;
  private final DistributionDataPoint lookupAge;
  private final PrometheusRegistry registry;

  SessionMetrics(PrometheusRegistry registry) {
    this.registry = registry;
    statements =
        Counter.builder()
            .name("alderyard_session_statements")
            .help("Statements of sessions by what reads must see and by their outcome.")
            .labelNames("reads", "outcome")
            .register(registry);
    attemptsNotRun =
        Counter.builder()
            .name("alderyard_session_attempts_not_run")
            .help("Attempts that a server refused, by its reason.")
            .labelNames("reason")
            .register(registry);
    tries =
        Histogram.builder()
            .name("alderyard_session_tries")
            .help("Servers that one statement was sent to, also those that refused.")
            .classicUpperBounds(1, 2, 3, 5, 8, 13)
            .classicOnly()
            .register(registry);
    forwarded =
        Counter.builder()
            .name("alderyard_session_forwarded")
            .help("Statements passed on to a host that holds connections, by what came back.")
            .labelNames("outcome")
            .register(registry);
    readResends = counter("alderyard_session_reads_sent_twice", "Reads sent to a second server.");
    lostReplies =
        counter("alderyard_session_answers_lost", "Answers of servers that did not arrive.");
    healthChanges =
        Counter.builder()
            .name("alderyard_server_health_changes")
            .help("Decisions about the health of servers, by what changed.")
            .labelNames("change")
            .register(registry);
    Histogram total =
        histogram("alderyard_session_statement", "From a statement's arrival to its answer.");
    for (SessionReads reads : SessionReads.values()) {
      durations.put(reads, total.labelValues(lowerCase(reads)));
    }
    Histogram stages =
        histogram("alderyard_session_stage", "Parts of a statement's time, by their name.");
    atServer = stages.labelValues("at-server");
    connectionWait = stages.labelValues("connection");
    lookupAge = stages.labelValues("lookup-to-send");
  }

  private Counter counter(String name, String help) {
    return Counter.builder().name(name).help(help).register(registry);
  }

  private Histogram histogram(String name, String help) {
    return Histogram.builder()
        .name(name)
        .unit(Unit.SECONDS)
        .help(help)
        .labelNames("kind")
        .classicUpperBounds(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5)
        .classicOnly()
        .register(registry);
  }

  void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  void recordStatement(SessionReads reads, SessionReply reply, long durationNanos) {
    Optional<Refusal> refusal = reply.refusal();
    statements
        .labelValues(lowerCase(reads), refusal.map(r -> lowerCase(r.code())).orElse(DONE))
        .inc();
    durations.get(reads).observe(seconds(durationNanos));
  }

  void recordServerTime(long durationNanos) {
    atServer.observe(seconds(durationNanos));
  }

  void recordConnectionWait(long durationNanos) {
    connectionWait.observe(seconds(durationNanos));
  }

  /** Records the time from the lookup of a statement's database to its sending. */
  void recordLookupAge(long ageNanos) {
    lookupAge.observe(seconds(ageNanos));
  }

  void countServerRefusal(RefusalCode code) {
    attemptsNotRun.labelValues(lowerCase(code)).inc();
  }

  void recordTriedServers(int triedServers) {
    tries.observe(triedServers);
  }

  void countForwarded(String outcome) {
    forwarded.labelValues(outcome).inc();
  }

  void countReadResend() {
    readResends.inc();
  }

  void countLostReply() {
    lostReplies.inc();
  }

  void countHealthChange(String change) {
    healthChanges.labelValues(change).inc();
  }

  private static double seconds(long nanos) {
    return nanos / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
