package org.alderyard.control.failover;

/** Why a primary is replaced. */
public enum FailoverKind {
  /** A quorum of watchers suspects the primary. */
  FAILURE,
  /** An operator drains the primary, which still works. */
  PLANNED,
  /** No failover has run yet: the group came with its primary. */
  INITIAL
}
