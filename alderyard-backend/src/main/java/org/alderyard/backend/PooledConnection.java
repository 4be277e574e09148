package org.alderyard.backend;

/** A connection that a pool can hold. */
public interface PooledConnection extends AutoCloseable {

  /** Returns whether another request may be sent. */
  boolean usable();

  /** Returns the owner in whose name the connection was opened. */
  default ConnectionOwner owner() {
    return ConnectionOwner.NONE;
  }

  @Override
  void close();
}
