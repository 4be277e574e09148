package org.alderyard.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.slf4j.LoggerFactory;

/**
 * How lines are logged.
 *
 * @param format as text or as JSON
 * @param level the least level that is written
 */
public record LogOptions(LogFormat format, LogLevel level) {
  private static final String APPENDER = "bounded";

  /** Puts the options in force for this process. */
  void apply() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(level.name()));
    if (LogSetup.hasOwnFile()) {
      return;
    }
    root.detachAndStopAllAppenders();
    BoundedAppender appender =
        new BoundedAppender(
            context,
            format == LogFormat.JSON ? jsonAppender(context) : LogSetup.textAppender(context));
    appender.setName(APPENDER);
    root.addAppender(appender);
  }

  /** Writes what waits; nothing is logged after it. */
  static void close() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  /** Counts the lines that were dropped since nobody read the output. */
  static void countDropped(PrometheusRegistry registry) {
    CounterWithCallback.builder()
        .name("alderyard_log_lines_dropped_total")
        .help("Lines that were not logged, as the queue before the output was full.")
        .callback(callback -> callback.call(droppedLines()))
        .register(registry);
  }

  private static long droppedLines() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Appender<ILoggingEvent> appender =
        context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender(APPENDER);
    return appender instanceof BoundedAppender bounded ? bounded.dropped() : 0;
  }

  private static ConsoleAppender<ILoggingEvent> jsonAppender(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithFormattedMessage(true);
    encoder.setWithMessage(false);
    encoder.setWithArguments(false);
    encoder.setWithContext(false);
    return LogSetup.console(context, encoder);
  }
}
