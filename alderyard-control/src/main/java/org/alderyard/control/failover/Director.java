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
 * Decides the next step of a group's failover from its record in the control log and from the
 * server responses that this host has received.
 *
 * <p>The same decision may be made more than once, by two hosts, or from an outdated record. This
 * is safe: the control log checks each step against the record in log order, and servers refuse
 * requests of a lower term.
 */
public final class Director {
  private static final Comparator<Map.Entry<ServerId, Position>> BY_POSITION =
      Map.Entry.comparingByValue();

  private final DirectorOptions options;

  /** Creates a director with the given timeouts. */
  public Director(DirectorOptions options) {
    this.options = options;
  }

  /**
   * Returns the next action of the failover.
   *
   * @param record the group's record; it may be outdated
   * @param attempt the server responses received in the record's term
   * @param eligible the servers that are preferred as primary among those with the highest position
   * @param nowMillis the time on the clock of {@link Attempt#startedAtMillis()}
   */
  public DirectorDecision decide(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long nowMillis) {
    if (attempt.highestTermSeen() > record.term()) {
      // A server that has seen a higher term refuses every request of the record's term; only a
      // term above it can reach a majority.
      return new DirectorDecision.Regrant(attempt.highestTermSeen() + 1, "higher-term-seen");
    }
    long elapsedMillis = nowMillis - attempt.startedAtMillis();
    return switch (record.phase()) {
      case GRANTED -> decideGranted(record, attempt, eligible, elapsedMillis);
      case CHOSEN -> decideChosen(record, attempt, elapsedMillis);
      case STEADY -> decideSteady(record, attempt);
    };
  }

  private DirectorDecision decideGranted(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible, long elapsedMillis) {
    if (record.kind() == FailoverKind.PLANNED
        && attempt.fencedPositions().isEmpty()
        && elapsedMillis < options.catchUpTimeoutMillis()
        && !replicaCaughtUp(record, attempt, eligible)) {
      return new DirectorDecision.AskPositions(record.members(), "hand-over-drains");
    }
    if (attempt.fencedPositions().size() >= record.majority()) {
      Candidate candidate = selectCandidate(record, attempt, eligible);
      return new DirectorDecision.Propose(
          new FailoverStep.Choose(record.term(), candidate), "majority-fenced");
    }
    List<ServerId> unfenced = exclude(record.members(), attempt.fencedPositions().keySet());
    if (elapsedMillis >= options.quorumTimeoutMillis()) {
      return new DirectorDecision.RefuseNoQuorum(
          unfenced,
          options.quorumTimeoutMillis(),
          "group "
              + record.group()
              + " has fenced "
              + attempt.fencedPositions().size()
              + " of "
              + record.members().size()
              + " servers; a majority is "
              + record.majority());
    }
    return new DirectorDecision.Fence(unfenced, "majority-not-fenced");
  }

  private DirectorDecision decideChosen(
      FailoverRecord record, Attempt attempt, long elapsedMillis) {
    if (attempt.promoted()) {
      return new DirectorDecision.Propose(
          new FailoverStep.Publish(record.term()), "candidate-promoted");
    }
    if (elapsedMillis >= options.promotionTimeoutMillis()) {
      return new DirectorDecision.Regrant(record.term() + 1, "candidate-silent");
    }
    return new DirectorDecision.Promote(record.candidate().orElseThrow().server(), "chosen");
  }

  private static DirectorDecision decideSteady(FailoverRecord record, Attempt attempt) {
    if (record.previousPrimary().isEmpty()) {
      return new DirectorDecision.Done("no-primary-yet");
    }
    ServerId primary = record.previousPrimary().orElseThrow();
    Set<ServerId> followingServers = new HashSet<>(attempt.followers());
    followingServers.add(primary);
    List<ServerId> notFollowing = exclude(record.members(), followingServers);
    if (notFollowing.isEmpty()) {
      return new DirectorDecision.Done("all-follow");
    }
    return new DirectorDecision.Follow(notFollowing, primary, "published");
  }

  /**
   * Returns the fenced server with the highest position.
   *
   * <p>A majority holds each acknowledged write, so at least one fenced server holds it, and the
   * server with the highest (term, index) holds every acknowledged write that any fenced server
   * holds. If only the index was compared, a long unacknowledged tail of a replaced primary would
   * be preferred to an acknowledged write of a later term. Among equal positions an eligible server
   * is preferred, then a server other than the primary to be replaced.
   */
  private static Candidate selectCandidate(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible) {
    Map.Entry<ServerId, Position> highest =
        attempt.fencedPositions().entrySet().stream()
            .max(
                BY_POSITION
                    .thenComparing(entry -> eligible.contains(entry.getKey()))
                    .thenComparing(entry -> !isPreviousPrimary(record, entry.getKey()))
                    .thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
            .orElseThrow();
    return new Candidate(highest.getKey(), highest.getValue());
  }

  /**
   * Returns whether an eligible replica has reached the position of the primary that is handed
   * over.
   */
  private static boolean replicaCaughtUp(
      FailoverRecord record, Attempt attempt, Set<ServerId> eligible) {
    Optional<Position> primaryPosition =
        record.previousPrimary().map(attempt.unfencedPositions()::get);
    return primaryPosition.isPresent()
        && attempt.unfencedPositions().entrySet().stream()
            .anyMatch(
                entry ->
                    !isPreviousPrimary(record, entry.getKey())
                        && eligible.contains(entry.getKey())
                        && entry.getValue().compareTo(primaryPosition.get()) >= 0);
  }

  private static boolean isPreviousPrimary(FailoverRecord record, ServerId server) {
    return record.previousPrimary().filter(server::equals).isPresent();
  }

  private static List<ServerId> exclude(List<ServerId> members, Collection<ServerId> excluded) {
    return members.stream().filter(member -> !excluded.contains(member)).toList();
  }
}
