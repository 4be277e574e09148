package org.alderyard.proxy.admission;

/**
 * What a host knows of the load of one server that may run a statement.
 *
 * @param slots how many statements the server runs at once; 0 if unknown
 * @param shareSlots how many of the slots this host can expect to use, at least 1
 * @param inFlight the statements of this host at the server
 * @param busy whether the server recently had no free slot for a statement
 * @param occupancyNanos the mean time for which a statement of this host uses the server, with its
 *     wait for a connection
 * @param availableAfterNanos how long until the server can run the statement, apart from its slots:
 *     until it is expected to hold the position of a read, or until the end of a backoff
 */
public record ServerLoad(
    int slots,
    double shareSlots,
    int inFlight,
    boolean busy,
    long occupancyNanos,
    long availableAfterNanos) {
  /** Assumed slots of a server that does not state them; more than a host has in flight there. */
  private static final int ASSUMED_SLOTS = 1_000;

  /** Returns the number of slots that are known to be free; at least 1 if slots are unknown. */
  int freeSlots() {
    if (busy || availableAfterNanos > 0) {
      return 0;
    }
    return slots == 0 ? Math.max(1, ASSUMED_SLOTS - inFlight) : Math.max(0, slots - inFlight);
  }

  /** Returns how many statements of this host the server ends per nanosecond under full load. */
  double endsPerNano() {
    return Math.max(1, shareSlots) / Math.max(1, occupancyNanos);
  }
}
