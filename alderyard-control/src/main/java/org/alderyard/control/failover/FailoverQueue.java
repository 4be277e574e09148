package org.alderyard.control.failover;

import java.util.Comparator;
import java.util.List;

/**
 * Orders the groups that need a new primary and limits the number of concurrent failovers.
 *
 * <p>When a zone fails, a third of all groups need a new primary in the same second. Without a
 * limit, their requests would overload the control log and the remaining servers and delay every
 * failover; with the limit each failover is fast, and the last groups only wait for their turn.
 */
public final class FailoverQueue {
  private static final Comparator<PendingFailover> ORDER =
      Comparator.comparingInt((PendingFailover pending) -> pending.recentFailovers())
          .thenComparingLong(PendingFailover::sinceMillis)
          .thenComparing(pending -> pending.record().group());

  private final int maxConcurrentFailovers;

  /** Creates a queue with a limit on concurrent failovers. */
  public FailoverQueue(int maxConcurrentFailovers) {
    this.maxConcurrentFailovers = maxConcurrentFailovers;
  }

  /**
   * A group that needs a new primary.
   *
   * @param record the group's record
   * @param kind the reason of the failover
   * @param sinceMillis when the group first needed the failover, on this host's monotonic clock
   * @param recentFailovers the group's failovers within the flap window; groups with fewer start
   *     first
   */
  public record PendingFailover(
      FailoverRecord record, FailoverKind kind, long sinceMillis, int recentFailovers) {}

  /**
   * Returns the groups whose failovers start now, in the order of their start.
   *
   * @param running the number of failovers in progress
   */
  public List<PendingFailover> selectToStart(List<PendingFailover> pending, int running) {
    int available = Math.max(0, maxConcurrentFailovers - running);
    return pending.stream().sorted(ORDER).limit(available).toList();
  }
}
