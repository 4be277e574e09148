package org.alderyard.common.view;

import java.util.Objects;
import org.alderyard.common.id.GroupId;

/**
 * A database on which callers open sessions.
 *
 * @param name the name that a session gives
 * @param scope tells entries of one name apart; a session uses the first of them
 * @param group the group that holds it
 * @param reads what reads must see
 * @param statementTimeoutMillis the longest time of one statement
 * @param latencyObjectiveMillis within which an operation should end
 * @param priority 0 is served first
 * @param maxStalenessMillis the age that reads accept, unless they must see everything
 */
public record DatabaseState(
    String name,
    String scope,
    GroupId group,
    SessionReads reads,
    int statementTimeoutMillis,
    int latencyObjectiveMillis,
    int priority,
    int maxStalenessMillis) {

  /** Checks. */
  public DatabaseState {
    Objects.requireNonNull(name);
    Objects.requireNonNull(scope);
    Objects.requireNonNull(group);
    Objects.requireNonNull(reads);
  }
}
