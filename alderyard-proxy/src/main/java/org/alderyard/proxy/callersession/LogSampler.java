package org.alderyard.proxy.callersession;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Selects one event out of a given number for logging, so that routine events do not fill the log.
 */
final class LogSampler {
  private final int interval;
  private final AtomicLong count = new AtomicLong();

  LogSampler(int interval) {
    this.interval = interval;
  }

  /** Returns whether to log the next event. */
  boolean shouldLog() {
    return count.getAndIncrement() % interval == 0;
  }
}
