package org.alderyard.daemon;

import javax.management.JMRuntimeException;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Leaves the Java runtime without management beans.
 *
 * <p>The library of the HTTP ports registers its threads with them and goes on without when it
 * can't; the beans of the runtime that come with that took half of the time to open those ports,
 * while the first callers wait. Metrics are served at the metrics address.
 */
public final class NoManagementBeans extends MBeanServerBuilder {
  private static final String BUILDER = "javax.management.builder.initial";

  /** Each option by which a user asks for remote management begins so. */
  private static final String REMOTE = "com.sun.management.jmxremote";

  /** Puts it in force, unless the command line asks for management. */
  static void install() {
    boolean asked =
        System.getProperties().stringPropertyNames().stream()
            .anyMatch(name -> name.startsWith(REMOTE) || name.equals(BUILDER));
    if (!asked) {
      System.setProperty(BUILDER, NoManagementBeans.class.getName());
    }
  }

  @Override
  public MBeanServer newMBeanServer(
      String domain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new JMRuntimeException("this process has no management beans");
  }
}
