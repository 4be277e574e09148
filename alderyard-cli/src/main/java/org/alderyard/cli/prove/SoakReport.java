package org.alderyard.cli.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** What the seeds of a soak came to, added up. */
final class SoakReport {
  private final Map<String, Integer> faults = new TreeMap<>();
  private final Map<String, Sum> promises = new TreeMap<>();
  private final List<String> failures = new ArrayList<>();

  /** How often a promise was attacked and broken. */
  private record Sum(long attempts, long violations) {
    Sum plus(Sum other) {
      return new Sum(attempts + other.attempts, violations + other.violations);
    }
  }

  /** Adds the result of one seed. */
  void add(PromiseReport report) {
    report.faults().forEach((names, times) -> addFaults(names, times));
    for (PromiseRow row : report.rows()) {
      promises.merge(row.promise(), new Sum(row.attempts(), row.violations()), Sum::plus);
    }
  }

  /** Faults that struck together have one entry with all their names. */
  private void addFaults(String names, int times) {
    Stream.of(names.split(" \\+ ")).forEach(name -> faults.merge(name, times, Integer::sum));
  }

  /** Adds a seed that broke a promise or could not be played. */
  void addFailure(long seed, String story) {
    failures.add("seed " + seed + ": " + story);
  }

  boolean unbroken() {
    return failures.isEmpty();
  }

  String toText(long firstSeed, long seeds) {
    StringBuilder text = new StringBuilder();
    text.append(String.format("seeds %d to %d%n", firstSeed, firstSeed + seeds - 1));
    promises.forEach(
        (promise, sum) ->
            text.append(
                String.format(
                    "%-62s %9d checks %6d broken%n", promise, sum.attempts(), sum.violations())));
    faults.forEach((name, times) -> text.append(String.format("  %-60s %9d%n", name, times)));
    text.append(String.format("failed seeds: %d%n", failures.size()));
    failures.forEach(failure -> text.append(failure).append(System.lineSeparator()));
    return text.toString();
  }
}
