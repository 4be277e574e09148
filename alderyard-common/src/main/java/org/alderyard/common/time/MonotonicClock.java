package org.alderyard.common.time;

import java.util.concurrent.TimeUnit;

/**
 * A clock for measuring intervals. It never goes backward and is not related to the time of day.
 */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the clock based on {@link System#nanoTime}. */
  static MonotonicClock system() {
    return System::nanoTime;
  }

  /** Returns the nanoseconds since an arbitrary origin. */
  long nowNanos();

  /** Returns the milliseconds since an arbitrary origin. */
  default long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos());
  }
}
