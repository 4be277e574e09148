package org.alderyard.proxy.view;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.alderyard.common.concurrent.Timer;
import org.alderyard.common.time.ManualClock;

/** Runs tasks when a test advances the clock. Not thread-safe. */
final class ManualTimer implements Timer {
  final ManualClock clock = new ManualClock();
  final InstantSource wallClock = () -> Instant.ofEpochMilli(wallMillis());
  private long wallOffsetMillis;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long scheduled;

  private record Task(long dueMillis, long number, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return Comparator.comparingLong(Task::dueMillis)
          .thenComparingLong(Task::number)
          .compare(this, other);
    }
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    scheduled++;
    tasks.add(new Task(clock.nowMillis() + delay.toMillis(), scheduled, task));
  }

  private long wallMillis() {
    return clock.nowMillis() + wallOffsetMillis;
  }

  /**
   * Advances the time of day alone, as during a suspension of the host or when its clock is set.
   */
  void stepWallClock(long millis) {
    wallOffsetMillis += millis;
  }

  /** Advances the clock and runs each task at its time. */
  void advance(long millis) {
    long endMillis = clock.nowMillis() + millis;
    while (!tasks.isEmpty() && tasks.peek().dueMillis() <= endMillis) {
      Task next = tasks.poll();
      moveTo(next.dueMillis());
      next.action().run();
    }
    moveTo(endMillis);
  }

  private void moveTo(long millis) {
    clock.advance(Duration.ofMillis(Math.max(0, millis - clock.nowMillis())));
  }
}
