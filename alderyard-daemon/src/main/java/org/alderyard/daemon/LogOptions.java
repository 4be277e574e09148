package org.alderyard.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;

/**
 * How lines are logged.
 *
 * @param format as text or as JSON
 * @param level the least level that is written
 */
public record LogOptions(LogFormat format, LogLevel level) {
  /** Lines that wait for a reader of the output; about 0.5 MB. */
  private static final int MAX_WAITING = 2_048;

  /** How long the end of a process waits for lines that are not written yet. */
  private static final int FLUSH_MILLIS = 300;

  /** Puts the options in force for this process. */
  void apply() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(level.name()));
    if (format == LogFormat.JSON) {
      root.detachAndStopAllAppenders();
      root.addAppender(bounded(context, jsonAppender(context)));
    }
  }

  /** Writes what waits; nothing is logged after it. */
  static void close() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  /**
   * Guards against a reader of the output that is stuck: a thread that logs would wait for it, and
   * callers with it. Lines beyond the bound are dropped, routine ones first.
   */
  private static AsyncAppender bounded(
      LoggerContext context, ConsoleAppender<ILoggingEvent> appender) {
    AsyncAppender async = new AsyncAppender();
    async.setContext(context);
    async.setQueueSize(MAX_WAITING);
    async.setNeverBlock(true);
    async.setMaxFlushTime(FLUSH_MILLIS);
    async.addAppender(appender);
    async.start();
    return async;
  }

  private static ConsoleAppender<ILoggingEvent> jsonAppender(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithFormattedMessage(true);
    encoder.setWithMessage(false);
    encoder.setWithArguments(false);
    encoder.setWithContext(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }
}
