package org.alderyard.common.view;

/** When a write is acknowledged to the caller. */
public enum WriteAcknowledgement {
  /** When a majority of the servers of the group hold it: no failover loses it. */
  MAJORITY,
  /** When the primary holds it: a failover may lose it. */
  PRIMARY_ONLY
}
