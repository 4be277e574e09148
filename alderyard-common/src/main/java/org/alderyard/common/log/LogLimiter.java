package org.alderyard.common.log;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the lines that one event may log in a second, so that refused callers don't fill the log.
 *
 * <p>Thread-safe; reads no clock.
 */
public final class LogLimiter {
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final int maxLinesPerSecond;
  // Guarded by this.
  private boolean started;
  private long windowStartNanos;
  private int lines;
  private long suppressed;

  /** Creates a limiter. */
  public LogLimiter(int maxLinesPerSecond) {
    this.maxLinesPerSecond = maxLinesPerSecond;
  }

  /**
   * Returns how many lines were suppressed since the last one if the next line may be logged; empty
   * if it is suppressed too.
   */
  public synchronized OptionalLong tryLog(long nowNanos) {
    if (!started || nowNanos - windowStartNanos >= WINDOW_NANOS) {
      started = true;
      windowStartNanos = nowNanos;
      lines = 0;
    }
    if (lines >= maxLinesPerSecond) {
      suppressed++;
      return OptionalLong.empty();
    }
    lines++;
    long before = suppressed;
    suppressed = 0;
    return OptionalLong.of(before);
  }
}
