package org.alderyard.control.failover;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.failover.DirectorExplorer.Result;
import org.junit.jupiter.api.Test;

/**
 * Checks every state of a small group with two directors, where messages are lost, delayed or
 * repeated and directors crash between any two steps.
 *
 * <p>Each term has at most one primary, each later primary's log contains every acknowledged write,
 * and once faults stop a primary takes over the group.
 */
class DirectorExplorationTest {
  private static final Director DIRECTOR = new Director(DirectorOptions.DEFAULT);

  @Test
  void threeServersKeepAcknowledgedWritesInEveryState() {
    Result result = new DirectorExplorer(DIRECTOR::decide, 3, 3, 2, true).explore();
    printResult("3 servers, 3 terms, 2 writes", result);
    assertThat(result.fault()).isEmpty();
    assertThat(result.states()).isGreaterThan(100_000);
  }

  @Test
  void twoServersKeepAcknowledgedWritesInEveryState() {
    Result result = new DirectorExplorer(DIRECTOR::decide, 2, 3, 2, true).explore();
    printResult("2 servers, 3 terms, 2 writes", result);
    assertThat(result.fault()).isEmpty();
  }

  @Test
  void explorerRejectsDirectorThatFencesMinority() {
    Result result = new DirectorExplorer(this::fenceOne, 3, 3, 2, false).explore();
    printResult("broken: fences one server of 3", result);
    assertThat(result.fault().orElseThrow()).contains("is lost");
  }

  @Test
  void explorerRejectsDirectorThatComparesIndexWithoutTerm() {
    Result result = new DirectorExplorer(this::compareIndexOnly, 3, 3, 2, false).explore();
    printResult("broken: compares the index without the term", result);
    assertThat(result.fault().orElseThrow()).contains("is lost");
  }

  @Test
  void explorerRejectsDirectorThatPromotesWithoutChoiceInLog() {
    Result result = new DirectorExplorer(this::promoteUnchosen, 3, 2, 1, false).explore();
    printResult("broken: promotes without a choice in the log", result);
    assertThat(result.fault().orElseThrow()).contains("two primaries");
  }

  @Test
  void explorerRejectsDirectorThatNeverFences() {
    Result result = new DirectorExplorer(this::neverFence, 3, 2, 1, true).explore();
    printResult("broken: never fences", result);
    assertThat(result.fault().orElseThrow()).contains("no primary after");
  }

  private DirectorDecision fenceOne(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (record.phase() == FailoverPhase.GRANTED && !attempt.fencedPositions().isEmpty()) {
      return proposeCandidate(record, highestPosition(attempt, Map.Entry.comparingByValue()));
    }
    return DIRECTOR.decide(record, attempt, eligible, nowMillis);
  }

  private DirectorDecision compareIndexOnly(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (record.phase() == FailoverPhase.GRANTED
        && attempt.fencedPositions().size() >= record.majority()) {
      return proposeCandidate(
          record,
          highestPosition(attempt, Comparator.comparingLong(entry -> entry.getValue().index())));
    }
    return DIRECTOR.decide(record, attempt, eligible, nowMillis);
  }

  private DirectorDecision promoteUnchosen(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (record.phase() == FailoverPhase.GRANTED
        && attempt.fencedPositions().size() >= record.majority()) {
      return new DirectorDecision.Promote(
          highestPosition(attempt, Map.Entry.comparingByValue()).server(), "unchosen");
    }
    return DIRECTOR.decide(record, attempt, eligible, nowMillis);
  }

  private DirectorDecision neverFence(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    DirectorDecision decision = DIRECTOR.decide(record, attempt, eligible, nowMillis);
    return decision instanceof DirectorDecision.Fence
        ? new DirectorDecision.AskPositions(record.members(), "unfenced")
        : decision;
  }

  private static Candidate highestPosition(
      Attempt attempt, Comparator<Map.Entry<ServerId, Position>> order) {
    Map.Entry<ServerId, Position> highest =
        attempt.fencedPositions().entrySet().stream()
            .max(order.thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
            .orElseThrow();
    return new Candidate(highest.getKey(), highest.getValue());
  }

  private static DirectorDecision proposeCandidate(FailoverRecord record, Candidate candidate) {
    return new DirectorDecision.Propose(
        new FailoverStep.Choose(record.term(), candidate), "broken");
  }

  private static void printResult(String scenario, Result result) {
    System.out.println(
        "exploration: " + scenario + ": states=" + result.states() + " fault=" + result.fault());
  }
}
