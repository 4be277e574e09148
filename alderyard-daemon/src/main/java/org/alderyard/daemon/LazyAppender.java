package org.alderyard.daemon;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Appender that creates its delegate when the first line is logged.
 *
 * <p>A host replaces this appender as soon as it has read its settings, usually before any line is
 * logged. Creating the text format eagerly took a tenth of the processor time of a start, although
 * it was rarely used.
 */
final class LazyAppender extends AppenderBase<ILoggingEvent> {
  private final Supplier<Appender<ILoggingEvent>> factory;
  private Optional<Appender<ILoggingEvent>> delegate = Optional.empty();

  LazyAppender(LoggerContext context, Supplier<Appender<ILoggingEvent>> factory) {
    this.factory = factory;
    setContext(context);
    start();
  }

  /** Called with the lock of the base class held. */
  @Override
  protected void append(ILoggingEvent event) {
    if (delegate.isEmpty()) {
      delegate = Optional.of(factory.get());
    }
    delegate.get().doAppend(event);
  }

  @Override
  public void stop() {
    super.stop();
    delegate.ifPresent(Appender::stop);
  }
}
