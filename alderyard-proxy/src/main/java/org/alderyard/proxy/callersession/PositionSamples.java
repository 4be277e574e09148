package org.alderyard.proxy.callersession;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;

/**
 * Recent log positions of a primary and the times at which they were requested.
 *
 * <p>A sample covers every commit that was acknowledged before its request was sent. A read that
 * may be stale by S can therefore run on any server that holds the position of a sample requested
 * no longer than S ago; the oldest such sample allows the most replicas to serve the read. Reads no
 * clock; not thread-safe.
 */
final class PositionSamples {
  /**
   * Samples closer than 1 % of the usual staleness limits replace each other, which bounds the
   * list.
   */
  private static final long MIN_SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Longest staleness limit for which samples are kept; older samples are dropped. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** A larger step between the two clocks is treated as a suspension of the host. */
  private static final long MAX_CLOCK_STEP_MILLIS = 30;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long clockOffsetMillis = Long.MIN_VALUE;

  /**
   * A log position of a primary.
   *
   * @param requestedNanos when the request was sent
   * @param position a position that the primary's log held at some time after the request
   */
  record Sample(long requestedNanos, Position position) {}

  /**
   * Removes all samples if the wall clock has moved relative to the monotonic clock.
   *
   * <p>The monotonic clock stops while a host is suspended, so that old samples would look recent
   * and reads would exceed their staleness limit. A step of the wall clock looks the same and costs
   * only a few requests.
   */
  void checkClocks(long nowNanos, long wallMillis) {
    long offset = wallMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    if (clockOffsetMillis != Long.MIN_VALUE
        && Math.abs(offset - clockOffsetMillis) > MAX_CLOCK_STEP_MILLIS) {
      samples.clear();
    }
    if (clockOffsetMillis == Long.MIN_VALUE
        || Math.abs(offset - clockOffsetMillis) > MAX_CLOCK_STEP_MILLIS) {
      clockOffsetMillis = offset;
    }
  }

  /** Adds a position returned by a server that proved at the same time that it is the primary. */
  void add(long requestedNanos, Position position) {
    Sample newest = samples.peekLast();
    if (newest != null && position.term() > newest.position().term()) {
      // The position of an earlier primary may cover commits that no later log holds.
      samples.clear();
      newest = null;
    }
    if (newest != null
        && (requestedNanos <= newest.requestedNanos()
            || position.term() < newest.position().term())) {
      return;
    }
    if (newest != null && requestedNanos - secondNewestNanos(newest) < MIN_SPACING_NANOS) {
      samples.removeLast();
    }
    samples.addLast(new Sample(requestedNanos, position));
    while (requestedNanos - samples.peekFirst().requestedNanos() > RETENTION_NANOS) {
      samples.removeFirst();
    }
  }

  private long secondNewestNanos(Sample newest) {
    Iterator<Sample> newestFirst = samples.descendingIterator();
    newestFirst.next();
    return newestFirst.hasNext()
        ? newestFirst.next().requestedNanos()
        : newest.requestedNanos() - RETENTION_NANOS;
  }

  /** Returns the oldest sample that was requested within the given time before now. */
  Optional<Sample> oldestWithin(long nowNanos, long maxAgeNanos) {
    return samples.stream()
        .filter(sample -> nowNanos - sample.requestedNanos() <= maxAgeNanos)
        .findFirst();
  }

  Optional<Sample> newest() {
    return Optional.ofNullable(samples.peekLast());
  }
}
