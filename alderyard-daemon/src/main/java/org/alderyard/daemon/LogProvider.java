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
 * SLF4J provider that starts Logback without searching the class path for providers and
 * configurators.
 *
 * <p>Both searches open every jar of the program; together they took a quarter of the processor
 * time before a host listened, and callers wait while a host starts. A configuration file of the
 * user is located by the regular Logback lookup.
 */
public final class LogProvider implements SLF4JServiceProvider {
  private static final String REQUESTED_API_VERSION = "2.0.99";
  private static final String VERBOSITY_PROPERTY = "slf4j.internal.verbosity";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter mdcAdapter = new LogbackMDCAdapter();

  /** Selects this provider for the process unless the command line names another one. */
  static void install() {
    if (System.getProperty(LoggerFactory.PROVIDER_PROPERTY_KEY) != null) {
      return;
    }
    System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, LogProvider.class.getName());
    if (System.getProperty(VERBOSITY_PROPERTY) == null) {
      // Otherwise SLF4J reports the selected provider in a line outside the log format.
      System.setProperty(VERBOSITY_PROPERTY, "WARN");
    }
  }

  @Override
  public void initialize() {
    context.setName(CoreConstants.DEFAULT_CONTEXT_NAME);
    context.setMDCAdapter(mdcAdapter);
    if (LogSetup.hasUserConfiguration()) {
      configureFromFile();
    } else {
      LogSetup.configureDefaults(context);
    }
    context.start();
  }

  private void configureFromFile() {
    try {
      new ContextInitializer(context).autoConfig();
    } catch (JoranException malformed) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "the logging configuration file is invalid: " + malformed.getMessage());
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
    return mdcAdapter;
  }

  @Override
  public String getRequestedApiVersion() {
    return REQUESTED_API_VERSION;
  }
}
