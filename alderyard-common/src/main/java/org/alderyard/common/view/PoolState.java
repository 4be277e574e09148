package org.alderyard.common.view;

import java.util.List;
import java.util.Objects;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;

/**
 * A pool: the name that callers address, before the groups that hold its keys.
 *
 * @param name the name
 * @param groups the groups, in the order that maps keys to them
 * @param writeAcknowledgement when a write is acknowledged
 * @param maxStalenessMillis the age that a bounded read accepts when the caller names none
 * @param maxConcurrentStatements the most statements that one proxy runs at once; 0 for no limit
 */
public record PoolState(
    PoolName name,
    List<GroupId> groups,
    WriteAcknowledgement writeAcknowledgement,
    long maxStalenessMillis,
    int maxConcurrentStatements) {

  /** Checks and copies. */
  public PoolState {
    Objects.requireNonNull(name);
    Objects.requireNonNull(writeAcknowledgement);
    groups = List.copyOf(groups);
  }
}
