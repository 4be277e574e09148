package org.alderyard.control.failover;

/** The reason for the replacement of a primary. */
public enum FailoverKind {
  /** A quorum of watchers suspects the primary. */
  FAILURE,
  /** An operator drains the primary, which still serves. */
  PLANNED,
  /** No failover has run yet: the group was registered with its primary. */
  INITIAL
}
