package org.alderyard.proxy.admission;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how long a group stays without a primary, from how long it has been without one and how
 * long earlier outages took. Reads no clock; not thread-safe.
 */
final class PrimaryOutage {
  /** Time without an answer up to which a single connection may have failed. */
  private static final long MIN_OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time within which a host finds a primary that other servers know of, by asking them. */
  private static final long SEARCH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Expected time of a promotion once the old primary has stepped down. */
  private static final long PROMOTION_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Assumed time from the loss of a primary to its successor's first answers. */
  private static final long INITIAL_FAILOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

  /** Weight of a new failover in the expected time. */
  private static final double SAMPLE_WEIGHT = 0.5;

  /** An outage that exceeds the expected time is expected to last for this part of it more. */
  private static final double OVERDUE_FACTOR = 0.25;

  private boolean absent;
  private long absentSinceNanos;
  private double failoverNanos = INITIAL_FAILOVER_NANOS;

  /** Records that a primary is known and not failing. */
  void recordPresent(long nowNanos) {
    long lastedNanos = absent ? nowNanos - absentSinceNanos : 0;
    if (lastedNanos >= MIN_OUTAGE_NANOS) {
      failoverNanos += SAMPLE_WEIGHT * (lastedNanos - failoverNanos);
    }
    absent = false;
  }

  /**
   * Returns the expected time until a primary answers; 0 if its silence may be that of one
   * connection.
   *
   * @param unresponsiveNanos how long requests to the primary have gone unanswered; {@code
   *     Long.MAX_VALUE} if no primary is known
   */
  long remainingNanos(long unresponsiveNanos, long nowNanos) {
    boolean unknown = unresponsiveNanos == Long.MAX_VALUE;
    if (!absent) {
      absent = true;
      absentSinceNanos = unknown ? nowNanos : nowNanos - unresponsiveNanos;
    }
    long elapsedNanos = nowNanos - absentSinceNanos;
    if (unknown && elapsedNanos < SEARCH_NANOS) {
      return SEARCH_NANOS - elapsedNanos;
    }
    if (!unknown && elapsedNanos < MIN_OUTAGE_NANOS) {
      return 0;
    }
    long expectedNanos = unknown ? PROMOTION_NANOS : (long) failoverNanos;
    return Math.max(expectedNanos - elapsedNanos, (long) (elapsedNanos * OVERDUE_FACTOR));
  }
}
