package org.alderyard.control.failover;

import org.alderyard.common.id.GroupId;

/** Receives the milestones of failovers, for metrics and measurements. */
@FunctionalInterface
public interface FailoverObserver {
  /** An observer that does nothing. */
  FailoverObserver NONE = (group, term, milestone, atNanos) -> {};

  /** Milestones of a failover, in order. */
  enum Milestone {
    /** A majority of watchers suspects the primary, or a hand-over was requested. */
    AGREED,
    /** The grant of the term is committed to the control log. */
    GRANTED,
    /** A majority of the servers is fenced at the term. */
    FENCED,
    /** The choice of the server is committed to the control log. */
    CHOSEN,
    /** The chosen server confirmed that it took the term. */
    PROMOTED,
    /** The new primary is committed to the control log. */
    PUBLISHED
  }

  /**
   * Called when a failover reaches a milestone.
   *
   * @param atNanos the time on the monotonic clock of this host
   */
  void onMilestone(GroupId group, long term, Milestone milestone, long atNanos);
}
