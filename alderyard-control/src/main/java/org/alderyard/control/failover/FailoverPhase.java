package org.alderyard.control.failover;

/** How far the failover of a group has come, as the control log knows it. */
public enum FailoverPhase {
  /** The primary of the term is published, or there has been none yet. */
  STEADY,
  /** A term is open and no server has been chosen. */
  GRANTED,
  /** One server may become primary of the term. */
  CHOSEN
}
