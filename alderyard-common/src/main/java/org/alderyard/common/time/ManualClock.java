package org.alderyard.common.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that changes only when it is advanced, for tests and simulations. */
public final class ManualClock implements MonotonicClock {
  private final AtomicLong nowNanos = new AtomicLong();

  @Override
  public long nowNanos() {
    return nowNanos.get();
  }

  /**
   * Advances the clock.
   *
   * @throws IllegalArgumentException if the duration is negative
   */
  public void advance(Duration duration) {
    if (duration.isNegative()) {
      throw new IllegalArgumentException("a monotonic clock can't go backward: " + duration);
    }
    nowNanos.addAndGet(duration.toNanos());
  }
}
