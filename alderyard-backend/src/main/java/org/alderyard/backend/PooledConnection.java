package org.alderyard.backend;

/** A connection that a pool can hold. */
public interface PooledConnection extends AutoCloseable {

  /** Returns whether another request may be sent. */
  boolean usable();

  @Override
  void close();
}
