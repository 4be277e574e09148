package org.alderyard.proxy.routing;

/** Why a read goes where it goes. */
public enum RoutingReason {
  /** A replica is fresh enough. */
  REPLICA_FRESH,
  /** A replica is expected to be fresh enough within the budget for waiting. */
  REPLICA_WAIT,
  /** The primary has no room for reads; a replica is expected within the deadline. */
  REPLICA_WAIT_PRIMARY_BUSY,
  /** The caller asked for the primary. */
  PRIMARY_DEMANDED,
  /** The session's position was folded away. */
  PRIMARY_SESSION_FOLDED,
  /** No replica is fresh enough. */
  PRIMARY_REPLICAS_BEHIND,
  /** Nothing is known of any replica, or none gets work. */
  PRIMARY_REPLICAS_UNKNOWN,
  /** Only the primary is fresh enough and it has no room for reads: come back later. */
  REFUSED_PRIMARY_BUSY,
  /** Only the primary is fresh enough and there is none. */
  REFUSED_NO_PRIMARY,
  /** No server of the group gets work. */
  REFUSED_NO_SERVER;

  /** Returns whether a replica serves the read. */
  public boolean replica() {
    return this == REPLICA_FRESH || this == REPLICA_WAIT || this == REPLICA_WAIT_PRIMARY_BUSY;
  }

  /** Returns whether the read was refused. */
  public boolean refused() {
    return this == REFUSED_PRIMARY_BUSY || this == REFUSED_NO_PRIMARY || this == REFUSED_NO_SERVER;
  }
}
