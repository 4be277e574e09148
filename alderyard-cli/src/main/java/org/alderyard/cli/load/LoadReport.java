package org.alderyard.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.alderyard.common.http.Json;
import org.alderyard.testkit.history.Operation;
import org.alderyard.testkit.history.Operation.Kind;
import org.alderyard.testkit.history.Operation.Result;
import org.alderyard.testkit.history.Violation;

/**
 * The results of a load run.
 *
 * @param seconds duration of the run
 * @param operations all requests and their results
 * @param replicaShare fraction of reads that replicas served, 0 to 1
 * @param browseReplicaShare fraction for reads that accept bounded staleness
 * @param sessionReplicaShare fraction for reads that require the session's own writes
 * @param readMicros latencies of successful reads, from arrival
 * @param writeMicros latencies of acknowledged writes, from arrival
 * @param longestWriteGapMillis longest time between consecutive acknowledged writes, by group
 * @param errors error count by code, including errors resolved by a retry
 * @param violations guarantee violations in the history
 * @param unreadKeys number of keys left unchecked because the final list could not be read
 */
public record LoadReport(
    double seconds,
    List<Operation> operations,
    double replicaShare,
    double browseReplicaShare,
    double sessionReplicaShare,
    Histogram readMicros,
    Histogram writeMicros,
    Map<String, Long> longestWriteGapMillis,
    Map<String, Long> errors,
    List<Violation> violations,
    int unreadKeys) {
  private static final int MAX_PRINTED_VIOLATIONS = 20;

  /** Returns whether the run has no violations and no unchecked keys. */
  public boolean isClean() {
    return violations.isEmpty() && unreadKeys == 0;
  }

  /** Returns the latency of each successful request in microseconds, one per line. */
  public String latencyTrace() {
    return operations.stream()
        .filter(operation -> operation.result() == Result.OK)
        .map(operation -> Long.toString((operation.endNanos() - operation.startNanos()) / 1_000))
        .collect(java.util.stream.Collectors.joining("\n", "", "\n"));
  }

  private long count(Kind kind, Result result) {
    return operations.stream().filter(o -> o.kind() == kind && o.result() == result).count();
  }

  /** Returns the report as JSON. */
  public JsonNode toJson() {
    ObjectNode node = Json.object();
    node.put("seconds", seconds);
    node.put("statements", operations.size());
    ObjectNode outcomes = node.putObject("outcomes");
    for (Kind kind : Kind.values()) {
      ObjectNode byKind = outcomes.putObject(kind.name().toLowerCase(java.util.Locale.ROOT));
      for (Result result : Result.values()) {
        byKind.put(result.name(), count(kind, result));
      }
    }
    ObjectNode replicas = node.putObject("replicaShare");
    replicas.put("all", replicaShare);
    replicas.put("browse", browseReplicaShare);
    replicas.put("session", sessionReplicaShare);
    node.set("readMicros", percentiles(readMicros));
    node.set("writeMicros", percentiles(writeMicros));
    ObjectNode gaps = node.putObject("longestWriteGapMillis");
    longestWriteGapMillis.forEach(gaps::put);
    ObjectNode errorCounts = node.putObject("errors");
    errors.forEach(errorCounts::put);
    node.put("unreadKeys", unreadKeys);
    var list = node.putArray("violations");
    violations.forEach(
        violation ->
            list.addObject()
                .put("promise", violation.guarantee().name())
                .put("key", violation.key())
                .put("detail", violation.detail()));
    return node;
  }

  private static ObjectNode percentiles(Histogram histogram) {
    return Json.object()
        .put("count", histogram.getTotalCount())
        .put("p50", histogram.getValueAtPercentile(50))
        .put("p99", histogram.getValueAtPercentile(99))
        .put("p999", histogram.getValueAtPercentile(99.9))
        .put("max", histogram.getMaxValue());
  }

  /** Returns the report as text. */
  public String toText() {
    StringBuilder text = new StringBuilder();
    appendLine(text, "statements", "%d in %.1f s", operations.size(), seconds);
    appendLine(
        text,
        "writes",
        "%d acknowledged, %d not run, %d failed, %d unknown",
        count(Kind.APPEND, Result.OK),
        count(Kind.APPEND, Result.NOT_RUN),
        count(Kind.APPEND, Result.FAILED),
        count(Kind.APPEND, Result.UNKNOWN));
    appendLine(
        text,
        "reads",
        "%d succeeded, %d did not",
        count(Kind.READ, Result.OK),
        operations.stream().filter(o -> o.kind() == Kind.READ).count()
            - count(Kind.READ, Result.OK));
    appendLine(
        text,
        "reads by replicas",
        "%.1f %% (browsing %.1f %%, sessions %.1f %%)",
        100 * replicaShare,
        100 * browseReplicaShare,
        100 * sessionReplicaShare);
    appendLatency(text, "read latency", readMicros);
    appendLatency(text, "write latency", writeMicros);
    longestWriteGapMillis.forEach(
        (group, millis) -> appendLine(text, "longest write gap", "%s %d ms", group, millis));
    errors.forEach((code, count) -> appendLine(text, "error responses", "%s %d", code, count));
    if (unreadKeys > 0) {
      appendLine(text, "UNCHECKED", "%d keys could not be read at the end", unreadKeys);
    }
    appendLine(text, "violations", "%d", violations.size());
    violations.stream()
        .limit(MAX_PRINTED_VIOLATIONS)
        .forEach(
            violation ->
                appendLine(
                    text,
                    "  " + violation.guarantee(),
                    "key %s, %s",
                    violation.key(),
                    violation.detail()));
    return text.toString();
  }

  private static void appendLatency(StringBuilder text, String name, Histogram histogram) {
    appendLine(
        text,
        name,
        "p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms",
        millis(histogram.getValueAtPercentile(50)),
        millis(histogram.getValueAtPercentile(99)),
        millis(histogram.getValueAtPercentile(99.9)),
        millis(histogram.getMaxValue()));
  }

  private static double millis(long micros) {
    return micros / 1000.0;
  }

  private static void appendLine(StringBuilder text, String name, String format, Object... values) {
    text.append(String.format("%-20s ", name))
        .append(String.format(format, values))
        .append(System.lineSeparator());
  }
}
