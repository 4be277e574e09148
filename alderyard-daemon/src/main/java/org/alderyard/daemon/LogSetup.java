package org.alderyard.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.List;

/**
 * Configures text logging until the settings are read, and for processes without settings.
 *
 * <p>Reading an equivalent configuration file takes a fifth of the processor time of a host's
 * start, and callers wait while a host starts.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  private static final String PATTERN =
      "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} level=%level thread=%thread logger=%logger{0}"
          + " %msg%n";

  private static final String LEVEL_VARIABLE = "ALDERYARD_LOG_LEVEL";

  /** System property that names a configuration file of the user, which takes precedence. */
  private static final String FILE_PROPERTY = "logback.configurationFile";

  /** Libraries that log lines about their own start each time a process starts. */
  private static final List<String> QUIET_LOGGERS = List.of("io.undertow", "org.xnio", "io.netty");

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (hasUserConfiguration()) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    configureDefaults(context);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  static void configureDefaults(LoggerContext context) {
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
    root.addAppender(new LazyAppender(context, () -> textAppender(context)));
    QUIET_LOGGERS.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
  }

  /** Returns whether the user has supplied a logging configuration file. */
  static boolean hasUserConfiguration() {
    return System.getProperty(FILE_PROPERTY) != null;
  }

  static ConsoleAppender<ILoggingEvent> textAppender(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    return console(context, encoder);
  }

  /** Starts the encoder and creates a started appender that writes to standard output. */
  static ConsoleAppender<ILoggingEvent> console(
      LoggerContext context, Encoder<ILoggingEvent> encoder) {
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }
}
