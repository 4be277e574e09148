package org.alderyard.cli.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The total results of all seeds of a soak run. */
final class SoakReport {
  private final Map<String, Integer> faults = new TreeMap<>();
  private final Map<String, Totals> totalsByPromise = new TreeMap<>();
  private final List<String> failures = new ArrayList<>();

  /** Total checks and violations of a promise. */
  private record Totals(long attempts, long violations) {
    Totals plus(Totals other) {
      return new Totals(attempts + other.attempts, violations + other.violations);
    }
  }

  /** Adds the report of one seed. */
  void add(PromiseReport report) {
    report.faults().forEach((names, count) -> addFaults(names, count));
    for (PromiseRow row : report.rows()) {
      totalsByPromise.merge(
          row.promise(), new Totals(row.attempts(), row.violations()), Totals::plus);
    }
  }

  /** Counts each fault of an entry; overlapping faults share one entry with joined names. */
  private void addFaults(String names, int count) {
    Stream.of(names.split(" \\+ ")).forEach(name -> faults.merge(name, count, Integer::sum));
  }

  /** Adds a seed whose experiment broke a promise or could not run. */
  void addFailure(long seed, String details) {
    failures.add("seed " + seed + ": " + details);
  }

  boolean allPassed() {
    return failures.isEmpty();
  }

  String toText(long firstSeed, long seeds) {
    StringBuilder text = new StringBuilder();
    text.append(String.format("seeds %d to %d%n", firstSeed, firstSeed + seeds - 1));
    totalsByPromise.forEach(
        (promise, totals) ->
            text.append(
                String.format(
                    "%-62s %9d checks %6d broken%n",
                    promise, totals.attempts(), totals.violations())));
    faults.forEach((name, count) -> text.append(String.format("  %-60s %9d%n", name, count)));
    text.append(String.format("failed seeds: %d%n", failures.size()));
    failures.forEach(failure -> text.append(failure).append(System.lineSeparator()));
    return text.toString();
  }
}
