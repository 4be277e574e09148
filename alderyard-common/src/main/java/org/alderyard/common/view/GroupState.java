package org.alderyard.common.view;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * A database group, which has one primary and its replicas.
 *
 * @param id the name
 * @param term the current term; 0 before the first primary
 * @param primary the primary of the term; empty during a failover
 * @param termHistory the start of each term, oldest first
 * @param slotsPerServer the number of statements that a server runs concurrently
 * @param connectionsPerServer the number of connections that a server accepts
 */
public record GroupState(
    GroupId id,
    long term,
    Optional<ServerId> primary,
    List<TermStart> termHistory,
    int slotsPerServer,
    int connectionsPerServer) {

  /** Checks that no component is null and copies the list. */
  public GroupState {
    Objects.requireNonNull(id);
    Objects.requireNonNull(primary);
    termHistory = List.copyOf(termHistory);
  }

  /**
   * Returns whether the entry at this position was lost when a later term started.
   *
   * <p>An entry is lost if its index is past the end of the log of a later primary, or if that log
   * has no entries of its term: such a log may be longer and still hold other entries at that
   * index.
   */
  public boolean isLost(Position position) {
    return termHistory.stream().anyMatch(start -> truncates(start, position));
  }

  private static boolean truncates(TermStart start, Position position) {
    if (start.term() <= position.term()) {
      return false;
    }
    return start.startIndex() < position.index() || start.previousTerm() < position.term();
  }
}
