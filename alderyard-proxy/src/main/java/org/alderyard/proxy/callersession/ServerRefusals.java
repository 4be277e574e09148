package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;

/**
 * Recent refusals of one server and the times at which it may be retried. Reads no clock; not
 * thread-safe.
 *
 * <p>All statements of this host share this state: after a refusal, one statement at a time retries
 * and the others wait for its result. When each statement retried on its own, a server with two
 * slots spent most of its time on refusals.
 */
final class ServerRefusals {
  /**
   * Initial backoff after a server had no free slot; slots become free within a few milliseconds.
   */
  private static final long INITIAL_BUSY_BACKOFF_MILLIS = 4;

  private static final long MAX_BUSY_BACKOFF_MILLIS = 64;

  /** Replicas apply the log in batches, so retrying sooner is not useful. */
  private static final long MIN_POSITION_BACKOFF_MILLIS = 10;

  /** Bounds the delay if the lag of a replica is greatly overestimated. */
  private static final long MAX_POSITION_BACKOFF_MILLIS = 250;

  private int consecutiveBusy;
  private long busyBackoffUntilNanos;
  private Position missingPosition = Position.NONE;
  private boolean positionMissing;
  private long positionBackoffUntilNanos;

  /** Records that the server had no free slot. */
  void recordBusy(long nowNanos) {
    busyBackoffUntilNanos = nowNanos + busyBackoffNanos();
    consecutiveBusy++;
  }

  private long busyBackoffNanos() {
    long millis =
        Math.min(
            MAX_BUSY_BACKOFF_MILLIS, INITIAL_BUSY_BACKOFF_MILLIS << Math.min(consecutiveBusy, 4));
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Clears the busy backoff: the server assigned a slot to a statement, or a statement of this host
   * released one.
   */
  void recordAccepted() {
    consecutiveBusy = 0;
    busyBackoffUntilNanos = 0;
  }

  /**
   * Records that the server lacked a position.
   *
   * @param expectedNanos when the server is expected to hold the position
   */
  void recordMissingPosition(Position position, long nowNanos, long expectedNanos) {
    if (!positionMissing || position.compareTo(missingPosition) < 0) {
      missingPosition = position;
    }
    positionMissing = true;
    positionBackoffUntilNanos = nowNanos + positionBackoffNanos(nowNanos, expectedNanos);
  }

  private static long positionBackoffNanos(long nowNanos, long expectedNanos) {
    long minNanos = TimeUnit.MILLISECONDS.toNanos(MIN_POSITION_BACKOFF_MILLIS);
    long maxNanos = TimeUnit.MILLISECONDS.toNanos(MAX_POSITION_BACKOFF_MILLIS);
    return Math.min(maxNanos, Math.max(minNanos, expectedNanos - nowNanos));
  }

  /** Records a position that the server holds. */
  void recordPosition(Position position) {
    if (positionMissing && position.compareTo(missingPosition) >= 0) {
      positionMissing = false;
    }
  }

  /** Returns whether the server lacked a position and is not yet expected to hold it. */
  boolean isMissing(Position required, long nowNanos) {
    return positionMissing
        && required.compareTo(missingPosition) >= 0
        && nowNanos - positionBackoffUntilNanos < 0;
  }

  /** Returns whether the server is in backoff because it had no free slot. */
  boolean isBusy(long nowNanos) {
    return consecutiveBusy > 0 && nowNanos - busyBackoffUntilNanos < 0;
  }

  /**
   * Extends the backoffs when a statement is sent to the server, so that other statements with the
   * same need wait for its result.
   */
  void recordAttempt(long nowNanos) {
    if (consecutiveBusy > 0) {
      busyBackoffUntilNanos = nowNanos + busyBackoffNanos();
    }
    if (positionMissing && nowNanos - positionBackoffUntilNanos >= 0) {
      positionBackoffUntilNanos =
          nowNanos + TimeUnit.MILLISECONDS.toNanos(MIN_POSITION_BACKOFF_MILLIS);
    }
  }
}
