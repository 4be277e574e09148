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
 * Every state that two directors can bring a small group into, with messages lost, late or repeated
 * and directors that crash between any two steps: a term has one primary, an acknowledged write is
 * in the log of each later primary, and once faults stop a primary takes the group.
 */
class DirectorExplorationTest {
  private static final Director DIRECTOR = new Director(DirectorOptions.DEFAULT);

  @Test
  void threeServersKeepAcknowledgedWritesInEveryState() {
    Result result = new DirectorExplorer(DIRECTOR::decide, 3, 3, 2, true).explore();
    print("3 servers, 3 terms, 2 writes", result);
    assertThat(result.fault()).isEmpty();
    assertThat(result.states()).isGreaterThan(100_000);
  }

  @Test
  void twoServersKeepAcknowledgedWritesInEveryState() {
    Result result = new DirectorExplorer(DIRECTOR::decide, 2, 3, 2, true).explore();
    print("2 servers, 3 terms, 2 writes", result);
    assertThat(result.fault()).isEmpty();
  }

  @Test
  void explorerRejectsDirectorThatFencesMinority() {
    Result result = new DirectorExplorer(this::fencesOne, 3, 3, 2, false).explore();
    print("broken: fences one server of 3", result);
    assertThat(result.fault().orElseThrow()).contains("is lost");
  }

  @Test
  void explorerRejectsDirectorThatComparesIndexWithoutTerm() {
    Result result = new DirectorExplorer(this::comparesIndex, 3, 3, 2, false).explore();
    print("broken: compares the index without the term", result);
    assertThat(result.fault().orElseThrow()).contains("is lost");
  }

  @Test
  void explorerRejectsDirectorThatPromotesWithoutChoiceInLog() {
    Result result = new DirectorExplorer(this::promotesUnchosen, 3, 2, 1, false).explore();
    print("broken: promotes without a choice in the log", result);
    assertThat(result.fault().orElseThrow()).contains("two primaries");
  }

  @Test
  void explorerRejectsDirectorThatNeverFences() {
    Result result = new DirectorExplorer(this::neverFences, 3, 2, 1, true).explore();
    print("broken: never fences", result);
    assertThat(result.fault().orElseThrow()).contains("no primary after");
  }

  private DirectorDecision fencesOne(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (record.phase() == FailoverPhase.GRANTED && !attempt.fenced().isEmpty()) {
      return propose(record, best(attempt, Map.Entry.comparingByValue()));
    }
    return DIRECTOR.decide(record, attempt, eligible, nowMillis);
  }

  private DirectorDecision comparesIndex(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (record.phase() == FailoverPhase.GRANTED && attempt.fenced().size() >= record.majority()) {
      return propose(
          record, best(attempt, Comparator.comparingLong(entry -> entry.getValue().index())));
    }
    return DIRECTOR.decide(record, attempt, eligible, nowMillis);
  }

  private DirectorDecision promotesUnchosen(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (record.phase() == FailoverPhase.GRANTED && attempt.fenced().size() >= record.majority()) {
      return new DirectorDecision.Promote(
          best(attempt, Map.Entry.comparingByValue()).server(), "unchosen");
    }
    return DIRECTOR.decide(record, attempt, eligible, nowMillis);
  }

  private DirectorDecision neverFences(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    DirectorDecision decision = DIRECTOR.decide(record, attempt, eligible, nowMillis);
    return decision instanceof DirectorDecision.Fence
        ? new DirectorDecision.AskPositions(record.members(), "unfenced")
        : decision;
  }

  private static Choice best(Attempt attempt, Comparator<Map.Entry<ServerId, Position>> order) {
    Map.Entry<ServerId, Position> best =
        attempt.fenced().entrySet().stream()
            .max(order.thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
            .orElseThrow();
    return new Choice(best.getKey(), best.getValue());
  }

  private static DirectorDecision propose(FailoverRecord record, Choice choice) {
    return new DirectorDecision.Propose(new FailoverStep.Choose(record.term(), choice), "broken");
  }

  private static void print(String what, Result result) {
    System.out.println(
        "exploration: " + what + ": states=" + result.states() + " fault=" + result.fault());
  }
}
