package org.alderyard.proxy.callersession;

import java.util.Optional;
import org.alderyard.common.view.DatabaseState;

/**
 * A caller's transaction. It gets a place, and a connection there, with its first statement, so
 * that none is held while the caller has not begun to work.
 *
 * <p>Lock: the object itself, a leaf.
 */
final class OpenTransaction {
  private final DatabaseState database;
  private final boolean readOnly;
  // Guarded by this.
  private Optional<TransactionPlace> place = Optional.empty();
  private boolean wrote;
  private boolean ended;
  private long quietSinceNanos;
  private boolean running;

  OpenTransaction(DatabaseState database, boolean readOnly, long nowNanos) {
    this.database = database;
    this.readOnly = readOnly;
    this.quietSinceNanos = nowNanos;
  }

  DatabaseState database() {
    return database;
  }

  boolean readOnly() {
    return readOnly;
  }

  /** Returns where it runs, once its first statement has found a place. */
  synchronized Optional<TransactionPlace> place() {
    return place;
  }

  /** Takes its place; returns false when the transaction has ended meanwhile. */
  synchronized boolean runAt(TransactionPlace found) {
    if (ended) {
      return false;
    }
    place = Optional.of(found);
    return true;
  }

  synchronized void wrote() {
    wrote = true;
  }

  synchronized boolean hasWritten() {
    return wrote;
  }

  /** Marks a statement as running; returns false when the transaction has ended. */
  synchronized boolean begin() {
    if (ended) {
      return false;
    }
    running = true;
    return true;
  }

  synchronized void rest(long nowNanos) {
    running = false;
    quietSinceNanos = nowNanos;
  }

  synchronized boolean idleFor(long nowNanos, long nanos) {
    return !ended && !running && nowNanos - quietSinceNanos >= nanos;
  }

  /** Ends it; returns where it is to be rolled back, once. */
  synchronized Optional<TransactionPlace> end() {
    ended = true;
    Optional<TransactionPlace> last = place;
    place = Optional.empty();
    return last;
  }
}
