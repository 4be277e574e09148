package org.alderyard.proxy.callersession;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;

/**
 * What a primary's log held, and when it was asked.
 *
 * <p>A sample covers every commit that was acknowledged before its question was sent. So a read
 * that may be S old is served rightly by any server that holds the position of a sample asked no
 * longer than S ago; the oldest such sample lets the most replicas serve it. Pure; not safe for
 * several threads.
 */
final class PositionSamples {
  /** Closer samples replace each other: it bounds the list, at 1 % of the usual bounds of age. */
  private static final long SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** The longest bound of age that is made use of; samples beyond it are dropped. */
  private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** A step between the two clocks beyond this is taken for a pause of the host. */
  private static final long CLOCK_STEP_MILLIS = 30;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long clockOffsetMillis = Long.MIN_VALUE;

  /**
   * A sample.
   *
   * @param askedNanos when the question was sent
   * @param position what the primary's log held at some time after that
   */
  record Sample(long askedNanos, Position position) {}

  /**
   * Forgets everything when the time of day moved against the monotonic clock.
   *
   * <p>Guards against a host that was suspended: its monotonic clock stood still meanwhile, so that
   * old samples look young, and reads would be older than they may be. A step of the time of day
   * looks the same and costs a few questions only.
   */
  void checkClocks(long nowNanos, long wallMillis) {
    long offset = wallMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    if (clockOffsetMillis != Long.MIN_VALUE
        && Math.abs(offset - clockOffsetMillis) > CLOCK_STEP_MILLIS) {
      samples.clear();
    }
    if (clockOffsetMillis == Long.MIN_VALUE
        || Math.abs(offset - clockOffsetMillis) > CLOCK_STEP_MILLIS) {
      clockOffsetMillis = offset;
    }
  }

  /** Adds what a server answered that proved at the same time that it leads. */
  void add(long askedNanos, Position position) {
    Sample last = samples.peekLast();
    if (last != null && position.term() > last.position().term()) {
      // What an earlier primary said may name commits that no later log holds.
      samples.clear();
      last = null;
    }
    if (last != null
        && (askedNanos <= last.askedNanos() || position.term() < last.position().term())) {
      return;
    }
    if (last != null && askedNanos - secondLastNanos(last) < SPACING_NANOS) {
      samples.removeLast();
    }
    samples.addLast(new Sample(askedNanos, position));
    while (askedNanos - samples.peekFirst().askedNanos() > KEPT_NANOS) {
      samples.removeFirst();
    }
  }

  private long secondLastNanos(Sample last) {
    Iterator<Sample> newestFirst = samples.descendingIterator();
    newestFirst.next();
    return newestFirst.hasNext() ? newestFirst.next().askedNanos() : last.askedNanos() - KEPT_NANOS;
  }

  /** Returns the oldest sample that was asked no longer ago than the given age. */
  Optional<Sample> oldestWithin(long nowNanos, long maxAgeNanos) {
    return samples.stream()
        .filter(sample -> nowNanos - sample.askedNanos() <= maxAgeNanos)
        .findFirst();
  }

  /** Returns the newest sample. */
  Optional<Sample> newest() {
    return Optional.ofNullable(samples.peekLast());
  }
}
