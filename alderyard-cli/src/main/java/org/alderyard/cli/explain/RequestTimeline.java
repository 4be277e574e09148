package org.alderyard.cli.explain;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the log lines of one request, and the state changes of its group, servers and hosts that
 * were logged around the same time.
 */
final class RequestTimeline {
  /** Events that change process state on which the handling of requests depends. */
  private static final Set<String> STATE_CHANGES =
      Set.of(
          "dependency-lost",
          "dependency-regained",
          "connection-silent",
          "handshake-lost",
          "peer-rejected",
          "rejected-by-peer",
          "control-answer",
          "failover-begin",
          "failover-candidate",
          "failover-attempt-failed",
          "promotion-call",
          "announcement",
          "server-expired",
          "server-ended",
          "term-changed",
          "configuration",
          "drain-begin",
          "drain-end",
          "started",
          "stopping",
          "settings-reloaded");

  private final List<LogLine> lines;

  RequestTimeline(List<LogLine> lines) {
    this.lines = lines.stream().sorted(Comparator.comparingLong(LogLine::timeMillis)).toList();
  }

  /** Returns the lines that carry the id of a request. */
  List<LogLine> linesOf(String request) {
    return lines.stream()
        .filter(line -> line.field("id").filter(request::equals).isPresent())
        .toList();
  }

  /** Returns the lines of a request, and related state changes within a margin of the request. */
  List<LogLine> linesAround(String request, long marginMillis) {
    List<LogLine> requestLines = linesOf(request);
    if (requestLines.isEmpty()) {
      return requestLines;
    }
    long from = requestLines.get(0).timeMillis() - marginMillis;
    long to = requestLines.get(requestLines.size() - 1).timeMillis() + marginMillis;
    Set<String> names = new HashSet<>();
    for (LogLine line : requestLines) {
      names.add(line.source());
      line.field("group").ifPresent(names::add);
      line.field("server").ifPresent(names::add);
    }
    return lines.stream()
        .filter(line -> line.timeMillis() >= from && line.timeMillis() <= to)
        .filter(line -> requestLines.contains(line) || isStateChangeOf(line, names))
        .toList();
  }

  private static boolean isStateChangeOf(LogLine line, Set<String> names) {
    boolean stateChange = line.event().filter(STATE_CHANGES::contains).isPresent();
    boolean matchesName =
        names.contains(line.source())
            || line.field("group").filter(names::contains).isPresent()
            || line.field("server").filter(names::contains).isPresent();
    return stateChange && matchesName;
  }
}
