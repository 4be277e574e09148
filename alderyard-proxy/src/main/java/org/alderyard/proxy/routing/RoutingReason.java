package org.alderyard.proxy.routing;

/** The reason of a routing decision. */
public enum RoutingReason {
  /** A replica is fresh enough. */
  REPLICA_FRESH,
  /** A replica is expected to be fresh enough within the wait budget. */
  REPLICA_WAIT,
  /**
   * The primary has no capacity for reads, and a replica is expected to be fresh enough within half
   * of the time that remains until the deadline.
   */
  REPLICA_WAIT_PRIMARY_BUSY,
  /** The caller asked for the primary. */
  PRIMARY_DEMANDED,
  /**
   * The session state no longer contains the session's position in the group, so only the primary
   * is certain to hold it.
   */
  PRIMARY_SESSION_FOLDED,
  /** No replica is fresh enough. */
  PRIMARY_REPLICAS_BEHIND,
  /** No replica has been measured, or none accepts reads. */
  PRIMARY_REPLICAS_UNKNOWN,
  /** Only the primary is fresh enough, and it has no capacity for reads. */
  REFUSED_PRIMARY_BUSY,
  /** No replica is fresh enough, and the group has no primary. */
  REFUSED_NO_PRIMARY,
  /** No server of the group accepts reads. */
  REFUSED_NO_SERVER;

  /** Returns whether a replica serves the read. */
  public boolean replica() {
    return this == REPLICA_FRESH || this == REPLICA_WAIT || this == REPLICA_WAIT_PRIMARY_BUSY;
  }

  /** Returns whether the read is refused. */
  public boolean refused() {
    return this == REFUSED_PRIMARY_BUSY || this == REFUSED_NO_PRIMARY || this == REFUSED_NO_SERVER;
  }
}
