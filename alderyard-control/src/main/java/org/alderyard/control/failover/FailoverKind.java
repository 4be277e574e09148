package org.alderyard.control.failover;

/** Why a primary is replaced. */
public enum FailoverKind {
  /** A quorum of watchers suspects the primary. */
  FAILURE,
  /** An operator drains the primary, which still works. */
  PLANNED,
  /** The group has had no primary yet. */
  INITIAL
}
