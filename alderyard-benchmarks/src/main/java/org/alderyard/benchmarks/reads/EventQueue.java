package org.alderyard.benchmarks.reads;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.alderyard.common.time.ManualClock;

/** Discrete-event queue that runs events in time order and advances the simulated clock. */
final class EventQueue {
  private final ManualClock clock = new ManualClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
  private long number;

  ManualClock clock() {
    return clock;
  }

  long now() {
    return clock.nowNanos();
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(now() + Math.max(0, delayNanos), number++, action));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event next = events.poll();
      clock.advance(Duration.ofNanos(next.atNanos() - now()));
      next.action().run();
    }
  }

  private record Event(long atNanos, long number, Runnable action) {}
}
