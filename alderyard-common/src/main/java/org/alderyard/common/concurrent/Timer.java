package org.alderyard.common.concurrent;

import java.time.Duration;

/** Runs tasks after a delay; tests run them when they advance their clock. */
@FunctionalInterface
public interface Timer {
  /** Schedules a task to run once; does not block. */
  void schedule(Duration delay, Runnable task);
}
