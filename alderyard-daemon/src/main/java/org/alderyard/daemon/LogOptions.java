package org.alderyard.daemon;

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

  /** Puts the options in force for this process. */
  void apply() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(level.name()));
    if (format == LogFormat.JSON) {
      root.detachAndStopAllAppenders();
      root.addAppender(jsonAppender(context));
    }
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
