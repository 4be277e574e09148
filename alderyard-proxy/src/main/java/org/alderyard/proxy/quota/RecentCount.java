package org.alderyard.proxy.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/** The number of operations counted within the last window. Not thread-safe. */
final class RecentCount {
  private final long windowNanos;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private int sum;

  private record Entry(int operations, long atNanos) {}

  RecentCount(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  void add(int operations, long nowNanos) {
    dropOld(nowNanos);
    if (operations > 0) {
      entries.addLast(new Entry(operations, nowNanos));
      sum += operations;
    }
  }

  int sum(long nowNanos) {
    dropOld(nowNanos);
    return sum;
  }

  private void dropOld(long nowNanos) {
    while (!entries.isEmpty() && nowNanos - entries.peekFirst().atNanos() >= windowNanos) {
      sum -= entries.removeFirst().operations();
    }
  }
}
