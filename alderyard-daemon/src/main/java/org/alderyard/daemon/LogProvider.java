package org.alderyard.daemon;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.CoreConstants;
import ch.qos.logback.core.joran.spi.JoranException;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.LoggerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Starts the log of a host without a search for providers and configurators.
 *
 * <p>Both searches open every jar of the program; together they took a quarter of the processor
 * time before a host listened, and while a host starts its callers wait. A user's own configuration
 * file is looked up as the library does it.
 */
public final class LogProvider implements SLF4JServiceProvider {
  private static final String REQUESTED_API_VERSION = "2.0.99";
  private static final String VERBOSITY = "slf4j.internal.verbosity";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter adapter = new LogbackMDCAdapter();

  /** Makes this the provider of the process, unless its command line names one. */
  static void install() {
    if (System.getProperty(LoggerFactory.PROVIDER_PROPERTY_KEY) != null) {
      return;
    }
    System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, LogProvider.class.getName());
    if (System.getProperty(VERBOSITY) == null) {
      // Else the library tells of the chosen provider in a line that is not the log's.
      System.setProperty(VERBOSITY, "WARN");
    }
  }

  @Override
  public void initialize() {
    context.setName(CoreConstants.DEFAULT_CONTEXT_NAME);
    context.setMDCAdapter(adapter);
    if (LogSetup.hasOwnFile()) {
      configureByFile();
    } else {
      LogSetup.setUp(context);
    }
    context.start();
  }

  private void configureByFile() {
    try {
      new ContextInitializer(context).autoConfig();
    } catch (JoranException malformed) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "the file of the log is not valid: " + malformed.getMessage());
    }
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return context;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return adapter;
  }

  @Override
  public String getRequestedApiVersion() {
    return REQUESTED_API_VERSION;
  }
}
