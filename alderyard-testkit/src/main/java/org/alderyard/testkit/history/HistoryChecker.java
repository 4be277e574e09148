package org.alderyard.testkit.history;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.alderyard.testkit.history.Operation.Kind;
import org.alderyard.testkit.history.Operation.Result;
import org.alderyard.testkit.history.Violation.Guarantee;

/** Checks a history of operations against the final lists of the keys. */
public final class HistoryChecker {
  private final List<Operation> operations;
  private final Map<String, List<String>> finalLists;
  private final Map<String, List<Operation>> appendsByKey = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  private HistoryChecker(List<Operation> operations, Map<String, List<String>> finalLists) {
    this.operations = operations;
    this.finalLists = finalLists;
  }

  /** Returns all violations; empty if the history satisfies all guarantees. */
  public static List<Violation> check(
      List<Operation> operations, Map<String, List<String>> finalLists) {
    HistoryChecker checker = new HistoryChecker(operations, finalLists);
    checker.indexAppends();
    checker.checkFinalLists();
    checker.checkReads();
    checker.checkSessions();
    return List.copyOf(checker.violations);
  }

  private void indexAppends() {
    for (Operation operation : operations) {
      if (operation.kind() == Kind.APPEND) {
        appendsByKey.computeIfAbsent(operation.key(), key -> new ArrayList<>()).add(operation);
      }
    }
  }

  private void checkFinalLists() {
    appendsByKey.forEach(
        (key, appends) -> {
          List<String> list = finalLists.getOrDefault(key, List.of());
          Map<String, Integer> counts = new HashMap<>();
          list.forEach(value -> counts.merge(value, 1, Integer::sum));
          appends.forEach(
              append -> checkFinalCount(append, counts.getOrDefault(append.value(), 0)));
        });
    finalLists.forEach((key, list) -> checkForeignValues(key, list, "final list"));
  }

  private void checkFinalCount(Operation append, int count) {
    if (append.result() == Result.OK && count == 0) {
      report(Guarantee.NO_WRITE_LOST, append, append.value());
    }
    if (count > 1) {
      report(Guarantee.NO_WRITE_DOUBLED, append, append.value() + " x" + count);
    }
    boolean refused = append.result() == Result.NOT_RUN || append.result() == Result.FAILED;
    if (refused && count > 0) {
      report(Guarantee.NOT_RUN_DID_NOT_RUN, append, append.value());
    }
  }

  private void checkReads() {
    for (Operation read : operations) {
      if (read.kind() != Kind.READ || read.result() != Result.OK) {
        continue;
      }
      checkForeignValues(read.key(), read.observed(), "read of " + read.session());
      checkStaleness(read);
    }
  }

  private void checkForeignValues(String key, List<String> list, String source) {
    Set<String> appended = new HashSet<>();
    appendsByKey.getOrDefault(key, List.of()).forEach(append -> appended.add(append.value()));
    list.stream()
        .filter(value -> !appended.contains(value))
        .forEach(
            value ->
                violations.add(new Violation(Guarantee.OWN_ANSWER, key, source + " has " + value)));
  }

  private void checkStaleness(Operation read) {
    if (read.maxStalenessMillis().isEmpty()) {
      return;
    }
    long boundNanos = TimeUnit.MILLISECONDS.toNanos(read.maxStalenessMillis().getAsLong());
    Set<String> observed = new HashSet<>(read.observed());
    for (Operation append : appendsByKey.getOrDefault(read.key(), List.of())) {
      boolean mustBeVisible =
          append.isAcknowledgedAppend() && append.endNanos() < read.startNanos() - boundNanos;
      if (mustBeVisible && !observed.contains(append.value())) {
        report(Guarantee.BOUNDED_STALENESS, read, append.value());
      }
    }
  }

  private void checkSessions() {
    Map<String, List<Operation>> sessions = new HashMap<>();
    operations.forEach(
        operation ->
            sessions
                .computeIfAbsent(
                    operation.session() + '\n' + operation.key(), s -> new ArrayList<>())
                .add(operation));
    sessions.values().forEach(this::checkSession);
  }

  /**
   * Checks the reads of one session on one key. Reads with a maximum staleness guarantee only that
   * bound, so they are excluded from the session guarantees.
   */
  private void checkSession(List<Operation> session) {
    List<Operation> ordered = new ArrayList<>(session);
    ordered.sort(Comparator.comparingLong(Operation::startNanos));
    Set<String> acknowledged = acknowledgedValues(ordered.get(0).key());
    for (Operation read : ordered) {
      boolean isSessionRead =
          read.kind() == Kind.READ
              && read.result() == Result.OK
              && read.maxStalenessMillis().isEmpty();
      if (isSessionRead) {
        checkSessionRead(read, ordered, acknowledged);
      }
    }
  }

  private void checkSessionRead(Operation read, List<Operation> session, Set<String> acknowledged) {
    Set<String> observed = new HashSet<>(read.observed());
    for (Operation earlier : session) {
      if (earlier.endNanos() >= read.startNanos()) {
        continue;
      }
      if (earlier.isAcknowledgedAppend() && !observed.contains(earlier.value())) {
        report(Guarantee.READ_YOUR_WRITES, read, earlier.value());
      }
      boolean isSessionRead = earlier.kind() == Kind.READ && earlier.maxStalenessMillis().isEmpty();
      if (isSessionRead) {
        earlier.observed().stream()
            .filter(value -> acknowledged.contains(value) && !observed.contains(value))
            .forEach(value -> report(Guarantee.MONOTONIC_READS, read, value));
      }
    }
  }

  private Set<String> acknowledgedValues(String key) {
    Set<String> values = new HashSet<>();
    appendsByKey.getOrDefault(key, Collections.emptyList()).stream()
        .filter(Operation::isAcknowledgedAppend)
        .forEach(append -> values.add(append.value()));
    return values;
  }

  private void report(Guarantee guarantee, Operation operation, String value) {
    violations.add(
        new Violation(
            guarantee, operation.key(), "session " + operation.session() + ", value " + value));
  }
}
