package org.alderyard.common.time;

import java.time.Duration;

/**
 * The moment at which someone stops waiting.
 *
 * @param endNanos the moment on a monotonic clock, in nanoseconds
 */
public record Deadline(long endNanos) {

  /** Returns the deadline that is a timeout away from now. */
  public static Deadline after(Duration timeout, MonotonicClock clock) {
    return new Deadline(clock.nowNanos() + timeout.toNanos());
  }

  /** Returns the time that is left; zero once it is over. */
  public Duration remaining(MonotonicClock clock) {
    return Duration.ofNanos(Math.max(0, endNanos - clock.nowNanos()));
  }

  /** Returns whether it is over. */
  public boolean over(MonotonicClock clock) {
    return endNanos - clock.nowNanos() <= 0;
  }
}
