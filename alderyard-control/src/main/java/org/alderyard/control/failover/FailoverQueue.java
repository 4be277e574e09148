package org.alderyard.control.failover;

import java.util.Comparator;
import java.util.List;

/**
 * Orders the groups that need a new primary and bounds how many are in a failover at once.
 *
 * <p>When a zone is lost, a third of all groups needs one in the same second. Started all at once,
 * they would fill the control log and the surviving servers with requests and all be late; within a
 * bound each is fast and the last waits for its turn only.
 */
public final class FailoverQueue {
  private static final Comparator<Waiting> ORDER =
      Comparator.comparingInt((Waiting waiting) -> waiting.recentFailovers())
          .thenComparingLong(Waiting::sinceMillis)
          .thenComparing(waiting -> waiting.record().group());

  private final int maxConcurrent;

  /** Creates a queue with a bound on concurrent failovers. */
  public FailoverQueue(int maxConcurrent) {
    this.maxConcurrent = maxConcurrent;
  }

  /**
   * A group that needs a new primary.
   *
   * @param record its record
   * @param kind why
   * @param sinceMillis since when, on this host's monotonic clock
   * @param recentFailovers its failovers within the flap window; fewer go first
   */
  public record Waiting(
      FailoverRecord record, FailoverKind kind, long sinceMillis, int recentFailovers) {}

  /** Returns which of the waiting groups start now, first ones first. */
  public List<Waiting> start(List<Waiting> waiting, int running) {
    int free = Math.max(0, maxConcurrent - running);
    return waiting.stream().sorted(ORDER).limit(free).toList();
  }
}
