package org.alderyard.common.time;

import java.util.concurrent.TimeUnit;

/** A clock for intervals: it never goes back and says nothing of the time of day. */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the clock of the runtime. */
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
