package org.alderyard.proxy.admission;

import java.util.concurrent.TimeUnit;

/**
 * How a host's statements use one incarnation of a server: how long they take, and how many slots
 * the host gets beside the other hosts. Not thread-safe.
 */
final class ServerUse {
  /** Assumed until statements have ended: the time of a typical statement. */
  private static final double INITIAL_OCCUPANCY_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

  /** Weight of a new sample; about the last ten statements count. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /**
   * Growth of the share with each served statement, divided by the share. Slow, since a server that
   * is full for one host is used by others, whose load changes over many statements.
   */
  private static final double SHARE_GROWTH = 0.1;

  private final long incarnation;
  private double occupancyNanos = INITIAL_OCCUPANCY_NANOS;
  private double shareSlots = Double.MAX_VALUE;

  ServerUse(long incarnation) {
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  /** Records that a statement has used the server for this time. */
  void recordServed(long tookNanos) {
    occupancyNanos += SAMPLE_WEIGHT * (tookNanos - occupancyNanos);
    if (shareSlots < Double.MAX_VALUE) {
      shareSlots += SHARE_GROWTH / shareSlots;
    }
  }

  /**
   * Records that the server had no slot for a statement.
   *
   * @param inFlight the statements of this host at the server, with the refused one
   */
  void recordBusy(int inFlight) {
    shareSlots = Math.max(1, Math.min(shareSlots, inFlight - 1));
  }

  long occupancyNanos() {
    return (long) occupancyNanos;
  }

  /** Returns how many slots this host can expect to use, between 1 and all. */
  double shareSlots(int slots) {
    return Math.max(
        1, slots == 0 ? Math.min(shareSlots, Integer.MAX_VALUE) : Math.min(shareSlots, slots));
  }
}
