package org.alderyard.proxy.admission;

import java.util.concurrent.TimeUnit;

/**
 * A statement that asks for a slot. All times are on the monotonic clock.
 *
 * @param arrivedNanos when the statement arrived at the host of its caller
 * @param objectiveNanos up to when a reply is within the latency objective; the deadline if the
 *     statement has no objective
 * @param deadlineNanos up to when a reply is of use
 * @param priority 0 is the most important
 * @param needsPrimary whether only the primary may run the statement
 */
public record AdmissionRequest(
    long arrivedNanos,
    long objectiveNanos,
    long deadlineNanos,
    int priority,
    boolean needsPrimary) {
  /**
   * Part of the objective by which each level of priority moves a statement back in the queue. A
   * statement of the lowest priority that counts so waits at most 1.75 objectives.
   */
  private static final double PRIORITY_WEIGHT = 0.25;

  private static final int MAX_PRIORITY = 3;

  /**
   * Returns the request of a statement that has a timeout and a latency objective.
   *
   * @param timeoutMillis the whole time of the statement, from its arrival to its deadline
   * @param objectiveMillis the latency objective; 0 if there is none
   */
  public static AdmissionRequest of(
      long deadlineNanos,
      int timeoutMillis,
      int objectiveMillis,
      int priority,
      boolean needsPrimary) {
    long arrivedNanos = deadlineNanos - TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    long objectiveNanos =
        objectiveMillis == 0
            ? deadlineNanos
            : arrivedNanos
                + TimeUnit.MILLISECONDS.toNanos(Math.min(objectiveMillis, timeoutMillis));
    return new AdmissionRequest(
        arrivedNanos, objectiveNanos, deadlineNanos, priority, needsPrimary);
  }

  /** Returns how long the statement has waited since its arrival. */
  public long waitedNanos(long nowNanos) {
    return nowNanos - arrivedNanos;
  }

  /** Returns the time from the arrival to the objective, longer for lower priorities. */
  long weightedObjectiveNanos() {
    long objective = objectiveNanos - arrivedNanos;
    int level = Math.max(0, Math.min(priority, MAX_PRIORITY));
    return objective + (long) (objective * PRIORITY_WEIGHT * level);
  }

  /** Returns the place in the order of statements that can still meet their objective. */
  long orderNanos() {
    return arrivedNanos + weightedObjectiveNanos();
  }

  /** Returns whether a statement that starts now and takes the given time meets its objective. */
  boolean meetsObjective(long startNanos, long serviceNanos) {
    return startNanos + serviceNanos - objectiveNanos <= 0;
  }

  /** Returns whether a statement that starts now and takes the given time meets its deadline. */
  boolean meetsDeadline(long startNanos, long serviceNanos) {
    return startNanos + serviceNanos - deadlineNanos <= 0;
  }
}
