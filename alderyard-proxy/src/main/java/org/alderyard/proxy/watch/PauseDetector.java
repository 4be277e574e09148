package org.alderyard.proxy.watch;

/**
 * Notices that this process stood still.
 *
 * <p>Guards against a stop-the-world pause or a stopped process: on waking, every primary seems to
 * have been silent for the whole pause, and the watcher would suspect them all at once.
 */
final class PauseDetector {
  private final long tickMillis;
  private final long toleranceMillis;
  private long lastMillis;

  PauseDetector(long tickMillis, long toleranceMillis, long nowMillis) {
    this.tickMillis = tickMillis;
    this.toleranceMillis = toleranceMillis;
    this.lastMillis = nowMillis;
  }

  /** Notes a tick; returns whether it came so late that this process must have been paused. */
  boolean paused(long nowMillis) {
    long lateMillis = nowMillis - lastMillis - tickMillis;
    lastMillis = nowMillis;
    return lateMillis > toleranceMillis;
  }
}
