package org.alderyard.testkit.history;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.alderyard.testkit.history.Operation.Kind;
import org.alderyard.testkit.history.Operation.Result;
import org.alderyard.testkit.history.Violation.Guarantee;
import org.junit.jupiter.api.Test;

/** Violates each guarantee once, with a minimal history. */
class HistoryCheckerTest {
  private static final long MILLI = 1_000_000;

  @Test
  void historyWithoutViolationIsAccepted() {
    var history =
        List.of(
            append("s1", "a", Result.OK, 0),
            append("s1", "b", Result.UNKNOWN, 2),
            append("s2", "c", Result.NOT_RUN, 2),
            read("s1", 4, "a"),
            read("s1", 6, "a", "b"),
            bounded("s2", 7, 100));
    assertThat(HistoryChecker.check(history, Map.of("k", List.of("a", "b")))).isEmpty();
  }

  @Test
  void reportsLostWrite() {
    assertViolation(Guarantee.NO_WRITE_LOST, List.of(), append("s1", "a", Result.OK, 0));
  }

  @Test
  void reportsDuplicateWriteWithUnknownOutcome() {
    assertViolation(
        Guarantee.NO_WRITE_DOUBLED, List.of("a", "a"), append("s1", "a", Result.UNKNOWN, 0));
  }

  @Test
  void reportsRefusedWriteThatRan() {
    assertViolation(
        Guarantee.NOT_RUN_DID_NOT_RUN, List.of("a"), append("s1", "a", Result.NOT_RUN, 0));
  }

  @Test
  void reportsSessionThatMissesItsOwnWrite() {
    assertViolation(
        Guarantee.READ_YOUR_WRITES, List.of("a"), append("s1", "a", Result.OK, 0), read("s1", 4));
  }

  @Test
  void reportsNonMonotonicReads() {
    assertViolation(
        Guarantee.MONOTONIC_READS,
        List.of("a"),
        append("s1", "a", Result.OK, 0),
        read("s2", 4, "a"),
        read("s2", 6));
  }

  @Test
  void reportsReadBeyondItsMaximumStaleness() {
    assertViolation(
        Guarantee.BOUNDED_STALENESS,
        List.of("a"),
        append("s1", "a", Result.OK, 0),
        bounded("s2", 200, 100));
  }

  @Test
  void reportsValueOfAnotherKey() {
    assertViolation(
        Guarantee.OWN_ANSWER,
        List.of("a"),
        append("s1", "a", Result.OK, 0),
        read("s2", 4, "a", "of-another-key"));
  }

  private static void assertViolation(
      Guarantee guarantee, List<String> finalList, Operation... operations) {
    var violations = HistoryChecker.check(List.of(operations), Map.of("k", finalList));
    assertThat(violations.stream().map(Violation::guarantee).distinct().toList())
        .containsExactly(guarantee);
  }

  private static Operation append(String session, String value, Result result, long millis) {
    return new Operation(
        session,
        "k",
        Kind.APPEND,
        value,
        result,
        millis * MILLI,
        (millis + 1) * MILLI,
        List.of(),
        OptionalLong.empty());
  }

  private static Operation read(String session, long millis, String... observed) {
    return readOperation(session, millis, OptionalLong.empty(), observed);
  }

  private static Operation bounded(
      String session, long millis, long maxStalenessMillis, String... observed) {
    return readOperation(session, millis, OptionalLong.of(maxStalenessMillis), observed);
  }

  private static Operation readOperation(
      String session, long millis, OptionalLong maxStalenessMillis, String... observed) {
    return new Operation(
        session,
        "k",
        Kind.READ,
        "",
        Result.OK,
        millis * MILLI,
        (millis + 1) * MILLI,
        List.of(observed),
        maxStalenessMillis);
  }
}
