package org.alderyard.proxy.callersession;

/**
 * Reply statistics and in-flight limit of one incarnation of a holder. Not thread-safe.
 *
 * <p>The in-flight limit grows with each reply and is halved after each failure; further statements
 * are refused immediately or sent to another holder. Without the limit, a slow holder works on
 * statements whose callers have given up: all hosts of a fleet start at the same time, and the
 * statements queued at a holder become older than their callers' timeouts.
 */
final class HolderTracker extends ResponseTracker {
  /**
   * Assumed latency before the first reply: close to that of a common statement plus a network
   * round trip.
   */
  private static final double INITIAL_LATENCY_MILLIS = 20;

  /** In-flight limit before the first reply: the concurrent statements of a few callers. */
  private static final double INITIAL_IN_FLIGHT_LIMIT = 4;

  private static final double MIN_IN_FLIGHT_LIMIT = 1;

  /** A higher limit would let a single host take up a holder's capacity. */
  private static final double MAX_IN_FLIGHT_LIMIT = 64;

  private final long incarnation;
  private double inFlightLimit = INITIAL_IN_FLIGHT_LIMIT;

  HolderTracker(long incarnation) {
    super(INITIAL_LATENCY_MILLIS);
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  /** Returns whether the number of in-flight statements from this host has reached the limit. */
  boolean atInFlightLimit() {
    return inFlight() >= inFlightLimit;
  }

  @Override
  void answered(long nowNanos, long tookNanos, boolean ran) {
    super.answered(nowNanos, tookNanos, ran);
    inFlightLimit = Math.min(MAX_IN_FLIGHT_LIMIT, inFlightLimit + 1 / inFlightLimit);
  }

  @Override
  void failed(long nowNanos) {
    super.failed(nowNanos);
    inFlightLimit = Math.max(MIN_IN_FLIGHT_LIMIT, inFlightLimit / 2);
  }
}
