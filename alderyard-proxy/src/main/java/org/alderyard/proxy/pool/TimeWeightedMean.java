package org.alderyard.proxy.pool;

import org.alderyard.common.time.MonotonicClock;

/** Computes the time-weighted mean of a value that changes over time. Not thread-safe. */
final class TimeWeightedMean {
  private final MonotonicClock clock;
  private long sinceNanos;
  private long changedNanos;
  private int current;
  private double sum;

  TimeWeightedMean(MonotonicClock clock) {
    this.clock = clock;
    this.sinceNanos = clock.nowNanos();
    this.changedNanos = sinceNanos;
  }

  /** Sets the value that applies from now on. */
  void update(int value) {
    long now = clock.nowNanos();
    sum += (double) current * (now - changedNanos);
    changedNanos = now;
    current = value;
  }

  /** Returns the mean since the last call, and starts a new window. */
  double takeMean() {
    update(current);
    long spanNanos = changedNanos - sinceNanos;
    double mean = spanNanos > 0 ? sum / spanNanos : current;
    sinceNanos = changedNanos;
    sum = 0;
    return mean;
  }
}
