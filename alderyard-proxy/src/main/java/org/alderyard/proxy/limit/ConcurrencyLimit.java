package org.alderyard.proxy.limit;

import org.alderyard.common.id.ServerId;

/** How many statements one proxy runs at one server at once. Not safe for several threads. */
public interface ConcurrencyLimit {

  /** Returns the limit, at least 1. */
  int current();

  /**
   * Takes in the end of a statement.
   *
   * @param latencyNanos how long the server took
   * @param inFlight the statements that ran when it ended, itself included
   * @param answered whether the server gave an answer
   */
  void sample(long latencyNanos, int inFlight, boolean answered);

  /** Makes limits for servers. */
  @FunctionalInterface
  interface Factory {

    /** Returns a new limit for a server with the given number of slots. */
    ConcurrencyLimit create(ServerId server, int slots);
  }
}
