package org.alderyard.proxy.callersession;

import java.util.Objects;
import java.util.Optional;

/**
 * Which servers may run a statement, and how they prove that they may.
 *
 * @param floor the position that the server's log must hold; empty where the server must lead
 * @param begin whether a transaction is opened before the statement, and whether it only reads
 * @param keep whether the transaction stays open after the statement
 */
record ServerDemand(Optional<GroupRouting.Floor> floor, Optional<Boolean> begin, boolean keep) {

  /** Checks. */
  ServerDemand {
    Objects.requireNonNull(floor);
    Objects.requireNonNull(begin);
  }

  /** A single read on any server that holds the position. */
  static ServerDemand holding(GroupRouting.Floor floor) {
    return new ServerDemand(Optional.of(floor), Optional.empty(), false);
  }

  /** The first statement of a read-only transaction on any server that holds the position. */
  static ServerDemand readTransaction(GroupRouting.Floor floor) {
    return new ServerDemand(Optional.of(floor), Optional.of(true), true);
  }

  /**
   * A single read on the primary. A primary that was replaced still answers reads that stand alone;
   * a transaction that could write is refused by it, so the read runs inside one.
   */
  static ServerDemand provedLead() {
    return new ServerDemand(Optional.empty(), Optional.of(false), false);
  }

  /** The first statement of a transaction that may write. */
  static ServerDemand transaction() {
    return new ServerDemand(Optional.empty(), Optional.of(false), true);
  }

  /** A single write: only the primary takes it. */
  static ServerDemand lead() {
    return new ServerDemand(Optional.empty(), Optional.empty(), false);
  }

  boolean needsLead() {
    return floor.isEmpty();
  }
}
