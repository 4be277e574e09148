package org.alderyard.common.view;

import java.util.Objects;
import org.alderyard.common.id.GroupId;

/**
 * A database on which callers open sessions.
 *
 * @param name the name by which sessions select the database
 * @param scope distinguishes entries with the same name; a session uses the first entry
 * @param group the group that stores the database
 * @param reads the consistency of reads
 * @param statementTimeoutMillis the maximum time of one statement
 * @param latencyObjectiveMillis the time in which an operation should complete
 * @param priority the priority; 0 is served first
 * @param maxStalenessMillis the age that reads accept, unless they must see all acknowledged writes
 * @param publicAccess whether callers need no key, even if others do
 */
public record DatabaseState(
    String name,
    String scope,
    GroupId group,
    SessionReads reads,
    int statementTimeoutMillis,
    int latencyObjectiveMillis,
    int priority,
    int maxStalenessMillis,
    boolean publicAccess) {

  /** Checks that no component is null. */
  public DatabaseState {
    Objects.requireNonNull(name);
    Objects.requireNonNull(scope);
    Objects.requireNonNull(group);
    Objects.requireNonNull(reads);
  }

  /** Creates a database without public access. */
  public DatabaseState(
      String name,
      String scope,
      GroupId group,
      SessionReads reads,
      int statementTimeoutMillis,
      int latencyObjectiveMillis,
      int priority,
      int maxStalenessMillis) {
    this(
        name,
        scope,
        group,
        reads,
        statementTimeoutMillis,
        latencyObjectiveMillis,
        priority,
        maxStalenessMillis,
        false);
  }
}
