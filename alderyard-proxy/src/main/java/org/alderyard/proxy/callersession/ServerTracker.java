package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;

/** State of one incarnation of a server, as observed by this host. Not thread-safe. */
final class ServerTracker extends ResponseTracker {
  /**
   * Assumed latency before the first response. It is close to the time of a typical statement, so
   * that a server without responses is not preferred over all others.
   */
  private static final double INITIAL_LATENCY_MILLIS = 15;

  /** Assumed lag of a replica before any lag is observed. */
  private static final double INITIAL_LAG_MILLIS = 100;

  private static final double LAG_GROWTH = 1.5;
  private static final double LAG_DECAY = 0.97;
  private static final long MAX_LAG_MILLIS = 10_000;

  /** The time in which a failed statement counts for half. */
  private static final double FAILED_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final double MAX_RECENT_FAILURES = 3;

  private final long incarnation;
  private double lagMillis = INITIAL_LAG_MILLIS;
  private Position position = Position.NONE;
  private boolean replaced;
  private double recentFailures;
  private long failuresNanos;
  private final ServerRefusals refusals = new ServerRefusals();

  ServerTracker(long incarnation) {
    super(INITIAL_LATENCY_MILLIS);
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  @Override
  void answered(long nowNanos, long tookNanos, boolean ran) {
    super.answered(nowNanos, tookNanos, ran);
    if (ran) {
      refusals.recordAccepted();
    }
  }

  /** Records that the server ran a statement and answered that it failed. */
  void recordFailed(long nowNanos) {
    recentFailures = Math.min(MAX_RECENT_FAILURES, recentFailures(nowNanos) + 1);
    failuresNanos = nowNanos;
  }

  /** Returns the number of failed statements, of which older ones count for less. */
  double recentFailures(long nowNanos) {
    if (recentFailures == 0) {
      return 0;
    }
    return recentFailures * Math.pow(0.5, (nowNanos - failuresNanos) / FAILED_HALF_LIFE_NANOS);
  }

  /** Records that another server now listens on the server's address. */
  void markReplaced() {
    replaced = true;
  }

  boolean isReplaced() {
    return replaced;
  }

  void recordPosition(Position held) {
    if (held.compareTo(position) > 0) {
      position = held;
    }
    refusals.recordPosition(held);
    lagMillis *= LAG_DECAY;
  }

  /** Records that the server lacked a position that the primary held. */
  void recordMissingPosition(GroupRouting.Floor floor, long nowNanos) {
    double millis = (nowNanos - floor.sinceNanos()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    lagMillis = Math.min(MAX_LAG_MILLIS, Math.max(lagMillis, millis) * LAG_GROWTH);
    refusals.recordMissingPosition(floor.position(), nowNanos, floor.sinceNanos() + lagNanos());
  }

  private long lagNanos() {
    return (long) (lagMillis * TimeUnit.MILLISECONDS.toNanos(1));
  }

  /**
   * Returns how long it takes until the server is expected to hold a position that it lacked; 0 if
   * it may hold it now.
   */
  long positionExpectedNanos(GroupRouting.Floor floor, long nowNanos) {
    return refusals.isMissing(floor.position(), nowNanos)
        ? Math.max(1, floor.sinceNanos() + lagNanos() - nowNanos)
        : 0;
  }

  /** Returns the recent refusals of the server. */
  ServerRefusals refusals() {
    return refusals;
  }

  /**
   * Returns whether the server is expected to hold a position of the given age.
   *
   * <p>A server without responses is assumed to hold it. A refusal costs one round trip, whereas
   * all reads of a newly started host would otherwise go to the primary.
   */
  boolean likelyHolds(Position required, long ageNanos) {
    return !hasAnswered() || position.compareTo(required) >= 0 || ageNanos >= lagNanos();
  }
}
