package org.alderyard.common.view;

/** The condition under which a write is acknowledged to the caller. */
public enum WriteAcknowledgement {
  /** A majority of the servers of the group hold the write: no failover loses it. */
  MAJORITY,
  /** The primary holds the write: a failover may lose it. */
  PRIMARY_ONLY
}
