package org.alderyard.daemon;

import javax.management.JMRuntimeException;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Disables the MBean server of the Java runtime.
 *
 * <p>The library of the HTTP ports registers its threads as management beans and continues if that
 * fails. Initializing the beans of the runtime took half of the time to open the HTTP ports, while
 * the first callers wait. Metrics are served at the metrics address instead.
 */
public final class DisabledMbeanServerBuilder extends MBeanServerBuilder {
  private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

  /** Common prefix of the system properties that enable remote management. */
  private static final String REMOTE_PROPERTY_PREFIX = "com.sun.management.jmxremote";

  /** Installs this builder unless the command line configures management or another builder. */
  static void install() {
    boolean requested =
        System.getProperties().stringPropertyNames().stream()
            .anyMatch(
                name -> name.startsWith(REMOTE_PROPERTY_PREFIX) || name.equals(BUILDER_PROPERTY));
    if (!requested) {
      System.setProperty(BUILDER_PROPERTY, DisabledMbeanServerBuilder.class.getName());
    }
  }

  @Override
  public MBeanServer newMBeanServer(
      String domain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new JMRuntimeException("management beans are disabled in this process");
  }
}
