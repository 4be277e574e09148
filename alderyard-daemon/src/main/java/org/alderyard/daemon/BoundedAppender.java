package org.alderyard.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands lines to another appender by a bounded queue and a thread of its own, and counts what it
 * drops.
 *
 * <p>Guards against a reader of the output that is stuck: a thread that logs would wait for it, and
 * callers with it. When a fifth of the queue is left, routine lines are dropped; warnings are
 * dropped only when nothing is left.
 */
final class BoundedAppender extends AsyncAppender {
  /**
   * Lines that wait for the thread that writes, which may have as many again in its hands; about 1
   * MB in all when nobody reads.
   */
  static final int MAX_WAITING = 2_048;

  /** How long the end of a process waits for lines that are not written yet. */
  private static final int FLUSH_MILLIS = 300;

  private final AtomicLong dropped = new AtomicLong();

  BoundedAppender(LoggerContext context, Appender<ILoggingEvent> appender) {
    setContext(context);
    setQueueSize(MAX_WAITING);
    setNeverBlock(true);
    setMaxFlushTime(FLUSH_MILLIS);
    addAppender(appender);
    start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    int left = getRemainingCapacity();
    if (left == 0 || left < getDiscardingThreshold() && isDiscardable(event)) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }

  /** Returns how many lines were dropped since the start. */
  long dropped() {
    return dropped.get();
  }
}
