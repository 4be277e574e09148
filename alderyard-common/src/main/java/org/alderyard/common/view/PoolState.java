package org.alderyard.common.view;

import java.util.List;
import java.util.Objects;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;

/**
 * A pool, by whose name callers address the groups that store its keys.
 *
 * @param name the name
 * @param groups the groups, in the order used to map keys to groups
 * @param writeAcknowledgement the condition for acknowledging a write
 * @param maxStalenessMillis the age that a bounded read accepts if the caller specifies none
 * @param maxConcurrentStatements the maximum number of statements that one proxy runs concurrently;
 *     0 for no limit
 */
public record PoolState(
    PoolName name,
    List<GroupId> groups,
    WriteAcknowledgement writeAcknowledgement,
    long maxStalenessMillis,
    int maxConcurrentStatements) {

  /** Checks that no component is null and copies the list. */
  public PoolState {
    Objects.requireNonNull(name);
    Objects.requireNonNull(writeAcknowledgement);
    groups = List.copyOf(groups);
  }
}
