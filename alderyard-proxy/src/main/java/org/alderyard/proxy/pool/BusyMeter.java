package org.alderyard.proxy.pool;

import org.alderyard.common.time.MonotonicClock;

/** The mean over time of a number that changes now and then. Not safe for several threads. */
final class BusyMeter {
  private final MonotonicClock clock;
  private long sinceNanos;
  private long changedNanos;
  private int current;
  private double sum;

  BusyMeter(MonotonicClock clock) {
    this.clock = clock;
    this.sinceNanos = clock.nowNanos();
    this.changedNanos = sinceNanos;
  }

  /** The number is another one from now on. */
  void changed(int number) {
    long now = clock.nowNanos();
    sum += (double) current * (now - changedNanos);
    changedNanos = now;
    current = number;
  }

  /** Returns the mean since the last call. */
  double takeMean() {
    changed(current);
    long spanNanos = changedNanos - sinceNanos;
    double mean = spanNanos > 0 ? sum / spanNanos : current;
    sinceNanos = changedNanos;
    sum = 0;
    return mean;
  }
}
