package org.alderyard.proxy.callersession;

import java.util.Optional;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.view.DatabaseState;

/**
 * A caller's transaction. The first statement assigns its location and acquires a connection there,
 * so that no connection is held before the caller sends a statement.
 *
 * <p>A statement that runs keeps the location until its end: if another thread ends the transaction
 * meanwhile, the rollback follows the statement. Otherwise the statement could run outside of its
 * transaction, or on a connection that another session uses already.
 *
 * <p>Locking: guarded by the object's own lock; no other lock is acquired while it is held.
 */
final class OpenTransaction {
  private final DatabaseState database;
  private final ConnectionOwner owner;
  private final boolean readOnly;
  // Guarded by this.
  private Optional<TransactionLocation> location = Optional.empty();
  private boolean wrote;
  private boolean ended;
  private long idleSinceNanos;
  private boolean running;

  OpenTransaction(DatabaseState database, ConnectionOwner owner, boolean readOnly, long nowNanos) {
    this.database = database;
    this.owner = owner;
    this.readOnly = readOnly;
    this.idleSinceNanos = nowNanos;
  }

  DatabaseState database() {
    return database;
  }

  /** Returns the owner of the connection that runs the transaction. */
  ConnectionOwner owner() {
    return owner;
  }

  boolean readOnly() {
    return readOnly;
  }

  /** Returns where the transaction runs; empty before the first statement has run. */
  synchronized Optional<TransactionLocation> location() {
    return location;
  }

  /**
   * Assigns the location of the transaction; returns false if the transaction has ended meanwhile.
   */
  synchronized boolean tryAssign(TransactionLocation assigned) {
    if (ended) {
      return false;
    }
    location = Optional.of(assigned);
    return true;
  }

  synchronized void markWritten() {
    wrote = true;
  }

  synchronized boolean hasWritten() {
    return wrote;
  }

  /** Marks a statement as running; returns false if the transaction has ended. */
  synchronized boolean beginStatement() {
    if (ended) {
      return false;
    }
    running = true;
    return true;
  }

  /**
   * Marks the running statement as ended. Returns the location to roll back if the transaction was
   * ended while the statement ran.
   */
  synchronized Optional<TransactionLocation> endStatement(long nowNanos) {
    running = false;
    idleSinceNanos = nowNanos;
    return ended ? takeLocation() : Optional.empty();
  }

  synchronized boolean isIdleFor(long nowNanos, long idleNanos) {
    return !ended && !running && nowNanos - idleSinceNanos >= idleNanos;
  }

  /**
   * Ends the transaction on behalf of its own statement, or while no statement runs. The first call
   * after a location was assigned returns that location, for the rollback; further calls return
   * empty.
   */
  synchronized Optional<TransactionLocation> end() {
    ended = true;
    return takeLocation();
  }

  /**
   * Ends the transaction on behalf of any thread. Returns the location to roll back; empty while a
   * statement runs, whose end then returns it.
   */
  synchronized Optional<TransactionLocation> requestEnd() {
    ended = true;
    return running ? Optional.empty() : takeLocation();
  }

  private Optional<TransactionLocation> takeLocation() {
    Optional<TransactionLocation> last = location;
    location = Optional.empty();
    return last;
  }
}
