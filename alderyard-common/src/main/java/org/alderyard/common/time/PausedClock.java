package org.alderyard.common.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that stands still until it is advanced, for tests and for models of time. */
public final class PausedClock implements MonotonicClock {
  private final AtomicLong nowNanos = new AtomicLong();

  @Override
  public long nowNanos() {
    return nowNanos.get();
  }

  /** Moves the clock forward. */
  public void advance(Duration duration) {
    if (duration.isNegative()) {
      throw new IllegalArgumentException("a monotonic clock does not go back: " + duration);
    }
    nowNanos.addAndGet(duration.toNanos());
  }
}
