package org.alderyard.proxy.watch;

/**
 * Detects pauses of this process, such as stop-the-world collections or a stopped process.
 *
 * <p>After a pause, every primary seems to have been unresponsive for its whole duration, and the
 * watcher would suspect all of them at the same time.
 */
final class PauseDetector {
  private final long tickMillis;
  private final long toleranceMillis;
  private long lastTickMillis;

  PauseDetector(long tickMillis, long toleranceMillis, long nowMillis) {
    this.tickMillis = tickMillis;
    this.toleranceMillis = toleranceMillis;
    this.lastTickMillis = nowMillis;
  }

  /** Records a tick. Returns whether it is so late that this process must have been paused. */
  boolean recordTick(long nowMillis) {
    long lateMillis = nowMillis - lastTickMillis - tickMillis;
    lastTickMillis = nowMillis;
    return lateMillis > toleranceMillis;
  }
}
