package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class BoundedAppenderTest {
  private static final int WARNING_LINES = 100;
  private static final int ROUTINE_LINES = 10_000;

  /**
   * Upper bound of the lines in the pipe, which holds 1,024 bytes; a line has at least 10 bytes.
   */
  private static final int MAX_LINES_IN_PIPE = 100;

  private final LoggerContext context = new LoggerContext();
  private final PipedOutputStream output = new PipedOutputStream();

  private BoundedAppender appender() {
    context.setMDCAdapter(new LogbackMDCAdapter());
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%level %msg%n");
    encoder.start();
    OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder);
    appender.setOutputStream(output);
    appender.start();
    return new BoundedAppender(context, appender);
  }

  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void unreadPipeDoesNotBlockLoggingThreads() throws Exception {
    // Nothing reads the pipe, as when a log collector hangs. An appender that blocks on its full
    // output would stop every thread that serves callers.
    final PipedInputStream pipe = new PipedInputStream(output);
    BoundedAppender bounded = appender();
    Logger log = context.getLogger("host");
    log.addAppender(bounded);

    for (int line = 0; line < ROUTINE_LINES; line++) {
      log.info("routine {}", line);
    }
    for (int line = 0; line < WARNING_LINES; line++) {
      log.warn("refused {}", line);
    }

    // Warnings take precedence over routine lines, and every missing line is counted.
    long dropped = bounded.dropped();
    assertThat(dropped)
        .isAtLeast(ROUTINE_LINES - 2 * BoundedAppender.QUEUE_CAPACITY - MAX_LINES_IN_PIPE);
    BufferedReader reader = new BufferedReader(new InputStreamReader(pipe));
    int warnings = 0;
    for (long line = 0; line < ROUTINE_LINES + WARNING_LINES - dropped; line++) {
      warnings += reader.readLine().startsWith("WARN") ? 1 : 0;
    }
    assertThat(warnings).isEqualTo(WARNING_LINES);
  }
}
