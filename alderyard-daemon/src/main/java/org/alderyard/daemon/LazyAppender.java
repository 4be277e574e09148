package org.alderyard.daemon;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Builds the appender that it hands lines to when the first line comes.
 *
 * <p>A host replaces this one as soon as it has read its settings, mostly without a line before;
 * the formats of text lines, which nobody saw, took a tenth of the processor time of its start.
 */
final class LazyAppender extends AppenderBase<ILoggingEvent> {
  private final Supplier<Appender<ILoggingEvent>> factory;
  private Optional<Appender<ILoggingEvent>> target = Optional.empty();

  LazyAppender(LoggerContext context, Supplier<Appender<ILoggingEvent>> factory) {
    this.factory = factory;
    setContext(context);
    start();
  }

  /** The base class holds its lock. */
  @Override
  protected void append(ILoggingEvent event) {
    if (target.isEmpty()) {
      target = Optional.of(factory.get());
    }
    target.get().doAppend(event);
  }

  @Override
  public void stop() {
    super.stop();
    target.ifPresent(Appender::stop);
  }
}
