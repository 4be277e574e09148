package org.alderyard.control.failover;

import org.alderyard.common.id.GroupId;

/** Hears when a failover reaches each of its milestones, for metrics and measurements. */
@FunctionalInterface
public interface FailoverObserver {
  /** An observer that does nothing. */
  FailoverObserver NONE = (group, term, milestone, atNanos) -> {};

  /** The milestones, in order. */
  enum Milestone {
    /** A majority of watchers suspects the primary, or a hand-over was asked for. */
    AGREED,
    /** The control log holds the grant of the term. */
    GRANTED,
    /** A majority of the servers is fenced. */
    FENCED,
    /** The control log holds the choice. */
    CHOSEN,
    /** The chosen server took the term. */
    PROMOTED,
    /** The control log holds the new primary. */
    PUBLISHED
  }

  /** Notes a milestone. */
  void reached(GroupId group, long term, Milestone milestone, long atNanos);
}
