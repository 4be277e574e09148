package org.alderyard.proxy.callersession;

import java.util.Objects;
import java.util.Optional;

/**
 * Requirements on the server that runs a statement, and how the server proves that it meets them.
 *
 * @param floor the position that the server's log must hold; empty if the server must be the
 *     primary
 * @param begin whether the transaction begun before the statement is read-only; empty if none is
 *     begun
 * @param keepOpen whether the transaction stays open after the statement
 */
record ServerRequirement(
    Optional<GroupRouting.Floor> floor, Optional<Boolean> begin, boolean keepOpen) {

  /** Rejects null components. */
  ServerRequirement {
    Objects.requireNonNull(floor);
    Objects.requireNonNull(begin);
  }

  /** Single read on any server that holds the position. */
  static ServerRequirement atFloor(GroupRouting.Floor floor) {
    return new ServerRequirement(Optional.of(floor), Optional.empty(), false);
  }

  /** First statement of a read-only transaction on any server that holds the position. */
  static ServerRequirement readTransaction(GroupRouting.Floor floor) {
    return new ServerRequirement(Optional.of(floor), Optional.of(true), true);
  }

  /**
   * Single read on the primary. The read runs inside a read-write transaction: a replaced primary
   * refuses such a transaction, but still answers standalone reads.
   */
  static ServerRequirement verifiedPrimary() {
    return new ServerRequirement(Optional.empty(), Optional.of(false), false);
  }

  /** First statement of a transaction that may write. */
  static ServerRequirement transaction() {
    return new ServerRequirement(Optional.empty(), Optional.of(false), true);
  }

  /** Single write, which only the primary accepts. */
  static ServerRequirement primary() {
    return new ServerRequirement(Optional.empty(), Optional.empty(), false);
  }

  boolean needsPrimary() {
    return floor.isEmpty();
  }
}
