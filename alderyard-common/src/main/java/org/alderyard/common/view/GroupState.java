package org.alderyard.common.view;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * A database group: one primary and its replicas.
 *
 * @param id the name
 * @param term the current term, 0 before the first primary
 * @param primary the primary of the term; empty while a failover runs
 * @param termHistory where the terms begin, oldest first
 * @param slotsPerServer the statements that a server runs at once
 * @param connectionsPerServer the connections that a server accepts
 */
public record GroupState(
    GroupId id,
    long term,
    Optional<ServerId> primary,
    List<TermStart> termHistory,
    int slotsPerServer,
    int connectionsPerServer) {

  /** Checks and copies. */
  public GroupState {
    Objects.requireNonNull(id);
    Objects.requireNonNull(primary);
    termHistory = List.copyOf(termHistory);
  }

  /**
   * Returns whether an entry at this position was lost when a later term began.
   *
   * <p>Either its index lies past the log of a later primary, or that log had missed its term: it
   * may be longer, and yet hold other entries there.
   */
  public boolean lost(Position position) {
    return termHistory.stream().anyMatch(start -> cutsOff(start, position));
  }

  private static boolean cutsOff(TermStart start, Position position) {
    if (start.term() <= position.term()) {
      return false;
    }
    return start.startIndex() < position.index() || start.previousTerm() < position.term();
  }
}
