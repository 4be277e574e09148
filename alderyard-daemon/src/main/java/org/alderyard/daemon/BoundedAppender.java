package org.alderyard.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Asynchronous appender with a bounded queue that drops lines when it is full and counts the
 * dropped lines.
 *
 * <p>Without it, a stuck reader of the output would block every thread that logs, and thus callers.
 * When less than a fifth of the queue is free, lines of level INFO and below are dropped; warnings
 * and errors are dropped only when the queue is full.
 */
final class BoundedAppender extends AsyncAppender {
  /**
   * Capacity of the queue. The writer thread may hold as many lines again; both together take about
   * 1 MB when the output is not read.
   */
  static final int QUEUE_CAPACITY = 2_048;

  /** Maximum time for which shutdown waits for lines that are not written yet. */
  private static final int MAX_FLUSH_MILLIS = 300;

  private final AtomicLong dropped = new AtomicLong();

  BoundedAppender(LoggerContext context, Appender<ILoggingEvent> appender) {
    setContext(context);
    setQueueSize(QUEUE_CAPACITY);
    setNeverBlock(true);
    setMaxFlushTime(MAX_FLUSH_MILLIS);
    addAppender(appender);
    start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    int remaining = getRemainingCapacity();
    if (remaining == 0 || remaining < getDiscardingThreshold() && isDiscardable(event)) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }

  /** Returns the number of lines dropped since the start. */
  long dropped() {
    return dropped.get();
  }
}
