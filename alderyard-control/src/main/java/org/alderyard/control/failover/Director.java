package org.alderyard.control.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * Decides the next step of a group's failover from the record in the control log and from what this
 * host has learned.
 *
 * <p>Every decision may be taken twice, by two hosts, or late. That does no harm: steps are checked
 * against the record in log order, and servers refuse what belongs to a lower term.
 */
public final class Director {
  private static final Comparator<Map.Entry<ServerId, Position>> BY_POSITION =
      Map.Entry.comparingByValue();

  private final DirectorOptions options;

  /** Creates a director with the given times. */
  public Director(DirectorOptions options) {
    this.options = options;
  }

  /**
   * Returns what to do next.
   *
   * @param record the group's record, perhaps an old one
   * @param attempt what this host has learned in the record's term
   * @param eligible the servers that should be primary, if positions allow
   * @param nowMillis the time on the clock of {@link Attempt#startedAtMillis()}
   */
  public DirectorDecision decide(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (attempt.highestTermSeen() > record.term()) {
      // A server refuses our term for good: only a higher one can win a majority.
      return new DirectorDecision.Regrant(attempt.highestTermSeen() + 1, "higher-term-seen");
    }
    long elapsedMillis = nowMillis - attempt.startedAtMillis();
    return switch (record.phase()) {
      case GRANTED -> beforeChoice(record, attempt, eligible, elapsedMillis);
      case CHOSEN -> afterChoice(record, attempt, elapsedMillis);
      case STEADY -> afterPublish(record, attempt);
    };
  }

  private DirectorDecision beforeChoice(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long elapsedMillis) {
    if (record.kind() == FailoverKind.PLANNED
        && attempt.fenced().isEmpty()
        && elapsedMillis < options.drainMillis()
        && !caughtUp(record, attempt, eligible)) {
      return new DirectorDecision.AskPositions(record.members(), "hand-over-drains");
    }
    if (attempt.fenced().size() >= record.majority()) {
      Choice choice = choose(record, attempt, eligible);
      return new DirectorDecision.Propose(
          new FailoverStep.Choose(record.term(), choice), "majority-fenced");
    }
    List<ServerId> missing = without(record.members(), attempt.fenced().keySet());
    if (elapsedMillis >= options.noQuorumAfterMillis()) {
      return new DirectorDecision.RefuseNoQuorum(
          missing,
          options.noQuorumAfterMillis(),
          "group "
              + record.group()
              + " has "
              + attempt.fenced().size()
              + " of "
              + record.members().size()
              + " servers; a majority is "
              + record.majority());
    }
    return new DirectorDecision.Fence(missing, "majority-not-fenced");
  }

  private DirectorDecision afterChoice(FailoverRecord record, Attempt attempt, long elapsedMillis) {
    if (attempt.promoted()) {
      return new DirectorDecision.Propose(
          new FailoverStep.Publish(record.term()), "candidate-promoted");
    }
    if (elapsedMillis >= options.promoteMillis()) {
      return new DirectorDecision.Regrant(record.term() + 1, "candidate-silent");
    }
    return new DirectorDecision.Promote(record.choice().orElseThrow().server(), "chosen");
  }

  private static DirectorDecision afterPublish(FailoverRecord record, Attempt attempt) {
    if (record.previousPrimary().isEmpty()) {
      return new DirectorDecision.Done("no-primary-yet");
    }
    ServerId primary = record.previousPrimary().orElseThrow();
    Set<ServerId> settled = new HashSet<>(attempt.following());
    settled.add(primary);
    List<ServerId> missing = without(record.members(), settled);
    if (missing.isEmpty()) {
      return new DirectorDecision.Done("all-follow");
    }
    return new DirectorDecision.Follow(missing, primary, "published");
  }

  /**
   * Returns the fenced server with the highest position.
   *
   * <p>An acknowledged write is held by a majority, so at least one fenced server holds it; the one
   * with the highest (term, index) holds all that any of them does. Comparing the index alone would
   * let a long tail of a replaced primary win over an acknowledged write of a later term. Among
   * equals an eligible server goes first, then one that is not the primary to be replaced.
   */
  private static Choice choose(FailoverRecord record, Attempt attempt, Set<ServerId> eligible) {
    Map.Entry<ServerId, Position> best =
        attempt.fenced().entrySet().stream()
            .max(
                BY_POSITION
                    .thenComparing(entry -> eligible.contains(entry.getKey()))
                    .thenComparing(entry -> !isPrevious(record, entry.getKey()))
                    .thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
            .orElseThrow();
    return new Choice(best.getKey(), best.getValue());
  }

  /** Returns whether an eligible replica holds all that the primary of a hand-over holds. */
  private static boolean caughtUp(FailoverRecord record, Attempt attempt, Set<ServerId> eligible) {
    Optional<Position> goal = record.previousPrimary().map(attempt.held()::get);
    return goal.isPresent()
        && attempt.held().entrySet().stream()
            .anyMatch(
                entry ->
                    !isPrevious(record, entry.getKey())
                        && eligible.contains(entry.getKey())
                        && entry.getValue().compareTo(goal.get()) >= 0);
  }

  private static boolean isPrevious(FailoverRecord record, ServerId server) {
    return record.previousPrimary().filter(server::equals).isPresent();
  }

  private static List<ServerId> without(List<ServerId> members, Collection<ServerId> excluded) {
    return members.stream().filter(member -> !excluded.contains(member)).toList();
  }
}
