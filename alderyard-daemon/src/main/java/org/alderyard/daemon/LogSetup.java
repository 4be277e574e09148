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
 * The log until the settings are read, and of processes without settings: lines of text.
 *
 * <p>A file of configuration would do the same; reading one takes a fifth of the processor time
 * that a host needs to start, and while a host starts its callers wait.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  private static final String PATTERN =
      "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} level=%level thread=%thread logger=%logger{0}"
          + " %msg%n";

  private static final String LEVEL_VARIABLE = "ALDERYARD_LOG_LEVEL";

  /** The property by which a user names a configuration file, which goes first. */
  private static final String FILE_PROPERTY = "logback.configurationFile";

  /** Libraries that tell of their own start at each one of ours. */
  private static final List<String> QUIET = List.of("io.undertow", "org.xnio", "io.netty");

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (hasOwnFile()) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    setUp(context);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  static void setUp(LoggerContext context) {
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
    root.addAppender(new LazyAppender(context, () -> textAppender(context)));
    QUIET.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
  }

  /** Returns whether a file of the user's own says where lines go. */
  static boolean hasOwnFile() {
    return System.getProperty(FILE_PROPERTY) != null;
  }

  static ConsoleAppender<ILoggingEvent> textAppender(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    return console(context, encoder);
  }

  /** Starts an encoder and an appender that writes its lines to standard output. */
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
