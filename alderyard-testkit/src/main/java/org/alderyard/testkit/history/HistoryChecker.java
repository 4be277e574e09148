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
import org.alderyard.testkit.history.Violation.Promise;

/** Checks a history against the lists that stand under the keys at the end. */
public final class HistoryChecker {
  private final List<Operation> operations;
  private final Map<String, List<String>> finalLists;
  private final Map<String, List<Operation>> appendsByKey = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  private HistoryChecker(List<Operation> operations, Map<String, List<String>> finalLists) {
    this.operations = operations;
    this.finalLists = finalLists;
  }

  /** Returns every violation; an empty list says that the history keeps all promises. */
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
          appends.forEach(append -> checkFinal(append, counts.getOrDefault(append.value(), 0)));
        });
    finalLists.forEach((key, list) -> checkOwn(key, list, "final list"));
  }

  private void checkFinal(Operation append, int count) {
    if (append.result() == Result.OK && count == 0) {
      report(Promise.NO_WRITE_LOST, append, append.value());
    }
    if (count > 1) {
      report(Promise.NO_WRITE_DOUBLED, append, append.value() + " x" + count);
    }
    boolean refused = append.result() == Result.NOT_RUN || append.result() == Result.FAILED;
    if (refused && count > 0) {
      report(Promise.NOT_RUN_DID_NOT_RUN, append, append.value());
    }
  }

  private void checkReads() {
    for (Operation read : operations) {
      if (read.kind() != Kind.READ || read.result() != Result.OK) {
        continue;
      }
      checkOwn(read.key(), read.observed(), "read of " + read.session());
      checkBound(read);
    }
  }

  private void checkOwn(String key, List<String> list, String where) {
    Set<String> own = new HashSet<>();
    appendsByKey.getOrDefault(key, List.of()).forEach(append -> own.add(append.value()));
    list.stream()
        .filter(value -> !own.contains(value))
        .forEach(
            value ->
                violations.add(new Violation(Promise.OWN_ANSWER, key, where + " has " + value)));
  }

  private void checkBound(Operation read) {
    if (read.maxStalenessMillis().isEmpty()) {
      return;
    }
    long boundNanos = TimeUnit.MILLISECONDS.toNanos(read.maxStalenessMillis().getAsLong());
    Set<String> seen = new HashSet<>(read.observed());
    for (Operation append : appendsByKey.getOrDefault(read.key(), List.of())) {
      boolean due =
          append.acknowledgedAppend() && append.endNanos() < read.startNanos() - boundNanos;
      if (due && !seen.contains(append.value())) {
        report(Promise.BOUNDED_STALENESS, read, append.value());
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
   * Follows one session on one key. Reads that state an age promise that age and no more, so they
   * count neither as sightings nor as misses.
   */
  private void checkSession(List<Operation> session) {
    List<Operation> ordered = new ArrayList<>(session);
    ordered.sort(Comparator.comparingLong(Operation::startNanos));
    Set<String> acknowledged = acknowledgedValues(ordered.get(0).key());
    for (Operation read : ordered) {
      boolean counts =
          read.kind() == Kind.READ
              && read.result() == Result.OK
              && read.maxStalenessMillis().isEmpty();
      if (counts) {
        checkSessionRead(read, ordered, acknowledged);
      }
    }
  }

  private void checkSessionRead(Operation read, List<Operation> session, Set<String> acknowledged) {
    Set<String> seen = new HashSet<>(read.observed());
    for (Operation earlier : session) {
      if (earlier.endNanos() >= read.startNanos()) {
        continue;
      }
      if (earlier.acknowledgedAppend() && !seen.contains(earlier.value())) {
        report(Promise.READ_YOUR_WRITES, read, earlier.value());
      }
      boolean sighting = earlier.kind() == Kind.READ && earlier.maxStalenessMillis().isEmpty();
      if (sighting) {
        earlier.observed().stream()
            .filter(value -> acknowledged.contains(value) && !seen.contains(value))
            .forEach(value -> report(Promise.MONOTONIC_READS, read, value));
      }
    }
  }

  private Set<String> acknowledgedValues(String key) {
    Set<String> values = new HashSet<>();
    appendsByKey.getOrDefault(key, Collections.emptyList()).stream()
        .filter(Operation::acknowledgedAppend)
        .forEach(append -> values.add(append.value()));
    return values;
  }

  private void report(Promise promise, Operation operation, String value) {
    violations.add(
        new Violation(
            promise, operation.key(), "session " + operation.session() + ", value " + value));
  }
}
