package org.alderyard.proxy.freshness;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.alderyard.common.id.Position;

/**
 * Bounded history of the positions of one group's primary, with the times of the measurements.
 *
 * <p>At the {@code latestNanos} of a sample, the primary had written nothing past the position of
 * that sample. When the history is full, every other sample of its older half is dropped. A lookup
 * then finds an older sample, so a computed age can only become larger. Not thread-safe.
 */
final class PositionHistory {
  /** The maximum number of samples, which take about 24 KB per group. */
  static final int CAPACITY = 256;

  private final TreeMap<Position, Sample> samples = new TreeMap<>();

  /** Records a position of the primary that was measured between the two given times. */
  void record(Position position, long sentNanos, long receivedNanos) {
    Sample existing = samples.get(position);
    if (existing != null) {
      existing.latestNanos = Math.max(existing.latestNanos, sentNanos);
      return;
    }
    samples.put(position, new Sample(sentNanos, receivedNanos));
    if (samples.size() > CAPACITY) {
      thinOlderHalf();
    }
  }

  /**
   * Returns the latest known time at which the primary had written nothing past the position; empty
   * if there is none.
   */
  OptionalLong latestAtOrBefore(Position position) {
    Map.Entry<Position, Sample> floor = samples.floorEntry(position);
    return floor == null ? OptionalLong.empty() : OptionalLong.of(floor.getValue().latestNanos);
  }

  /**
   * Returns the earliest known time by which the primary had written the position; empty if there
   * is none.
   */
  OptionalLong earliestAtOrAfter(Position position) {
    Map.Entry<Position, Sample> ceiling = samples.ceilingEntry(position);
    return ceiling == null
        ? OptionalLong.empty()
        : OptionalLong.of(ceiling.getValue().writtenByNanos);
  }

  /** Lowers all later {@code latestNanos} to the given time; earlier ones stay valid. */
  void clampLatestTimes(long nanos) {
    samples.values().forEach(sample -> sample.latestNanos = Math.min(sample.latestNanos, nanos));
  }

  void clear() {
    samples.clear();
  }

  int size() {
    return samples.size();
  }

  private void thinOlderHalf() {
    int[] sampleIndex = {0};
    int olderHalf = samples.size() / 2;
    samples.keySet().removeIf(position -> sampleIndex[0]++ < olderHalf && sampleIndex[0] % 2 == 0);
  }

  private static final class Sample {
    long latestNanos;
    final long writtenByNanos;

    Sample(long latestNanos, long writtenByNanos) {
      this.latestNanos = latestNanos;
      this.writtenByNanos = writtenByNanos;
    }
  }
}
