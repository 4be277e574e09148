package org.alderyard.proxy.freshness;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.alderyard.common.id.Position;

/**
 * When the primary of one group was at which position, in bounded memory.
 *
 * <p>Each sample says: at {@code heldNanos} the primary had written nothing past the position. When
 * the history is full, every other sample of its older half goes; a lookup then finds an older
 * sample, so that an age only grows. Not safe for several threads.
 */
final class PositionHistory {
  /** The samples that are kept: about 24 KB a group. */
  static final int CAPACITY = 256;

  private final TreeMap<Position, Sample> samples = new TreeMap<>();

  /** Adds a measurement of the primary. */
  void record(Position position, long sentNanos, long receivedNanos) {
    Sample held = samples.get(position);
    if (held != null) {
      held.heldNanos = Math.max(held.heldNanos, sentNanos);
      return;
    }
    samples.put(position, new Sample(sentNanos, receivedNanos));
    if (samples.size() > CAPACITY) {
      thin();
    }
  }

  /** Returns the latest time at which the primary had written nothing past the position. */
  OptionalLong heldUntil(Position applied) {
    Map.Entry<Position, Sample> floor = samples.floorEntry(applied);
    return floor == null ? OptionalLong.empty() : OptionalLong.of(floor.getValue().heldNanos);
  }

  /** Returns the earliest time by which the primary is known to have written the position. */
  OptionalLong reachedBy(Position position) {
    Map.Entry<Position, Sample> ceiling = samples.ceilingEntry(position);
    return ceiling == null
        ? OptionalLong.empty()
        : OptionalLong.of(ceiling.getValue().reachedNanos);
  }

  /** Forgets what was measured after the given time; older samples stay true. */
  void clampTo(long nanos) {
    samples.values().forEach(sample -> sample.heldNanos = Math.min(sample.heldNanos, nanos));
  }

  void clear() {
    samples.clear();
  }

  int size() {
    return samples.size();
  }

  private void thin() {
    int[] place = {0};
    int olderHalf = samples.size() / 2;
    samples.keySet().removeIf(position -> place[0]++ < olderHalf && place[0] % 2 == 0);
  }

  private static final class Sample {
    long heldNanos;
    final long reachedNanos;

    Sample(long heldNanos, long reachedNanos) {
      this.heldNanos = heldNanos;
      this.reachedNanos = reachedNanos;
    }
  }
}
