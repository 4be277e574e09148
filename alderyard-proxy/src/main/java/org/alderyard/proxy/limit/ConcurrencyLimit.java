package org.alderyard.proxy.limit;

import org.alderyard.common.id.ServerId;

/** Limits how many statements one proxy runs concurrently on one server. Not thread-safe. */
public interface ConcurrencyLimit {

  /** Returns the limit, at least 1. */
  int current();

  /**
   * Records the end of a statement.
   *
   * @param latencyNanos the time the server took, in nanoseconds
   * @param inFlight the number of statements in flight when this statement ended, including it
   * @param answered whether the server answered
   */
  void sample(long latencyNanos, int inFlight, boolean answered);

  /** Creates the limits of servers. */
  @FunctionalInterface
  interface Factory {

    /** Returns a new limit for a server with the given number of slots. */
    ConcurrencyLimit create(ServerId server, int slots);
  }
}
