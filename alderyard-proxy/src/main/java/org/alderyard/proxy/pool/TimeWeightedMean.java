package org.alderyard.proxy.pool;

import org.alderyard.common.time.MonotonicClock;

/** Computes the time-weighted mean of a value that changes over time. Not thread-safe. */
final class TimeWeightedMean {
  private final MonotonicClock clock;
  private long windowStartNanos;
  private long updatedNanos;
  private int current;
  private double weightedSum;

  TimeWeightedMean(MonotonicClock clock) {
    this.clock = clock;
    this.windowStartNanos = clock.nowNanos();
    this.updatedNanos = windowStartNanos;
  }

  /** Sets the value that applies from now on. */
  void update(int value) {
    long now = clock.nowNanos();
    weightedSum += (double) current * (now - updatedNanos);
    updatedNanos = now;
    current = value;
  }

  /** Returns the mean since the last call, and starts a new window. */
  double takeMean() {
    update(current);
    long windowNanos = updatedNanos - windowStartNanos;
    double mean = windowNanos > 0 ? weightedSum / windowNanos : current;
    windowStartNanos = updatedNanos;
    weightedSum = 0;
    return mean;
  }
}
