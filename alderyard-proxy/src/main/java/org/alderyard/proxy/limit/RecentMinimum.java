package org.alderyard.proxy.limit;

/** The minimum latency over the last one to two windows of samples. */
final class RecentMinimum {
  private static final int WINDOW_SAMPLES = 2_000;

  private long previous = Long.MAX_VALUE;
  private long current = Long.MAX_VALUE;
  private int samples;

  void add(long latencyNanos) {
    current = Math.min(current, latencyNanos);
    samples++;
    if (samples >= WINDOW_SAMPLES) {
      previous = current;
      current = Long.MAX_VALUE;
      samples = 0;
    }
  }

  /** Returns the minimum in nanoseconds, or {@link Long#MAX_VALUE} before the first sample. */
  long value() {
    return Math.min(previous, current);
  }
}
