package org.alderyard.cli.explain;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The lines that tell of one request: its own, and what changed around it for its group and servers
 * and for the hosts that touched it. Pure.
 */
final class Story {
  /** Events that change what a process believes, and so how it treats requests. */
  private static final Set<String> BELIEFS =
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

  Story(List<LogLine> lines) {
    this.lines = lines.stream().sorted(Comparator.comparingLong(LogLine::timeMillis)).toList();
  }

  /** Returns the lines of a request itself. */
  List<LogLine> of(String request) {
    return lines.stream()
        .filter(line -> line.field("id").filter(request::equals).isPresent())
        .toList();
  }

  /** Returns the lines of a request, and the changes of belief within the given time of them. */
  List<LogLine> around(String request, long marginMillis) {
    List<LogLine> own = of(request);
    if (own.isEmpty()) {
      return own;
    }
    long from = own.get(0).timeMillis() - marginMillis;
    long to = own.get(own.size() - 1).timeMillis() + marginMillis;
    Set<String> names = new HashSet<>();
    for (LogLine line : own) {
      names.add(line.source());
      line.field("group").ifPresent(names::add);
      line.field("server").ifPresent(names::add);
    }
    return lines.stream()
        .filter(line -> line.timeMillis() >= from && line.timeMillis() <= to)
        .filter(line -> own.contains(line) || changesBeliefAbout(line, names))
        .toList();
  }

  private static boolean changesBeliefAbout(LogLine line, Set<String> names) {
    boolean belief = line.event().filter(BELIEFS::contains).isPresent();
    boolean concerns =
        names.contains(line.source())
            || line.field("group").filter(names::contains).isPresent()
            || line.field("server").filter(names::contains).isPresent();
    return belief && concerns;
  }
}
