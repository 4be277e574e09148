package org.alderyard.common.time;

import java.time.Duration;

/**
 * The time at which a caller stops waiting for a result.
 *
 * @param endNanos the time on a monotonic clock, in nanoseconds
 */
public record Deadline(long endNanos) {

  /** Returns the deadline that ends after the given timeout, counted from now. */
  public static Deadline after(Duration timeout, MonotonicClock clock) {
    return new Deadline(clock.nowNanos() + timeout.toNanos());
  }

  /** Returns the remaining time; zero once the deadline has passed. */
  public Duration remaining(MonotonicClock clock) {
    return Duration.ofNanos(Math.max(0, endNanos - clock.nowNanos()));
  }

  /** Returns whether the deadline has passed. */
  public boolean isExpired(MonotonicClock clock) {
    return endNanos - clock.nowNanos() <= 0;
  }
}
