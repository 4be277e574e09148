package org.alderyard.control.failover;

/** The phase of a failover, as recorded in the control log. */
public enum FailoverPhase {
  /** The primary of the term is published, or the group has not had a primary yet. */
  STEADY,
  /** A term is granted, and no server has been chosen. */
  GRANTED,
  /** A server has been chosen; only this server may become primary of the term. */
  CHOSEN
}
