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
 * Format and level of the log.
 *
 * @param format format of log lines
 * @param level minimum level of logged lines
 */
public record LogOptions(LogFormat format, LogLevel level) {
  private static final String APPENDER_NAME = "bounded";

  /**
   * Applies these options to the logging context of the process. A configuration file of the user
   * keeps its appenders; only the level is applied.
   */
  void apply() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(level.name()));
    if (LogSetup.hasUserConfiguration()) {
      return;
    }
    root.detachAndStopAllAppenders();
    BoundedAppender appender =
        new BoundedAppender(
            context,
            format == LogFormat.JSON ? jsonAppender(context) : LogSetup.textAppender(context));
    appender.setName(APPENDER_NAME);
    root.addAppender(appender);
  }

  /** Flushes queued lines and stops logging. */
  static void close() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  /**
   * Registers the counter of lines that were dropped because the output was not read fast enough.
   */
  static void registerDroppedCounter(PrometheusRegistry registry) {
    CounterWithCallback.builder()
        .name("alderyard_log_lines_dropped_total")
        .help("Lines that were not logged, as the queue before the output was full.")
        .callback(callback -> callback.call(droppedLines()))
        .register(registry);
  }

  private static long droppedLines() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Appender<ILoggingEvent> appender =
        context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender(APPENDER_NAME);
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
