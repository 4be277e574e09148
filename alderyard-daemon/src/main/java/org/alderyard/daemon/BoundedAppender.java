package org.alderyard.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Asynchronous appender with a bounded queue that drops lines when it is full and counts the
 * dropped lines.
 *
 * <p>Without it, a stuck reader of the output would block every thread that logs, and thus callers.
 * When less than a fifth of the queue is free, lines of level INFO and below are dropped; warnings
 * and errors are dropped only when the queue is full.
 *
 * <p>Replaces the asynchronous appender of the library, whose first use is slow.
 *
 * <p>Thread-safe; a thread of its own writes the lines.
 */
final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
  /**
   * Capacity of the queue. The writer thread may hold as many lines again; both together take about
   * 1 MB when the output is not read.
   */
  static final int QUEUE_CAPACITY = 2_048;

  /** Number of free places below which routine lines are dropped. */
  private static final int ROUTINE_RESERVE = QUEUE_CAPACITY / 5;

  /** Maximum time for which shutdown waits for lines that are not written yet. */
  private static final int MAX_FLUSH_MILLIS = 300;

  private final Appender<ILoggingEvent> output;
  private final BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::writeUntilStopped, "log-writer");

  BoundedAppender(LoggerContext context, Appender<ILoggingEvent> output) {
    this.output = output;
    setContext(context);
    writer.setDaemon(true);
    start();
    writer.start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    boolean routine = event.getLevel().toInt() <= Level.INFO_INT;
    if (routine && queue.remainingCapacity() < ROUTINE_RESERVE) {
      dropped.incrementAndGet();
      return;
    }
    event.prepareForDeferredProcessing();
    if (!queue.offer(event)) {
      dropped.incrementAndGet();
    }
  }

  private void writeUntilStopped() {
    List<ILoggingEvent> events = new ArrayList<>();
    try {
      while (isStarted()) {
        events.add(queue.take());
        queue.drainTo(events);
        events.forEach(output::doAppend);
        events.clear();
      }
    } catch (InterruptedException stopped) {
      // The remaining lines are written below.
    }
    queue.drainTo(events);
    events.forEach(output::doAppend);
    output.stop();
  }

  /** Writes the queued lines, for a limited time, and stops the output. */
  @Override
  public void stop() {
    if (!isStarted()) {
      return;
    }
    super.stop();
    writer.interrupt();
    try {
      writer.join(MAX_FLUSH_MILLIS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the number of lines dropped since the start. */
  long dropped() {
    return dropped.get();
  }
}
