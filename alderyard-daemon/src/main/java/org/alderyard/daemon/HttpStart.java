package org.alderyard.daemon;

import java.time.Duration;

/**
 * When a host whose callers open sessions opens its ports for readiness, operators and metrics.
 *
 * <p>Opening them loads the HTTP library, which delays the election and the first view on hosts
 * with little processor time.
 */
enum HttpStart {
  /** After the first view with a configuration, or soon where no leader is found. */
  TIMED(Duration.ofSeconds(2), true),
  /**
   * After the first view, with or without a configuration. The limit serves operators of hosts that
   * find no leader.
   */
  AFTER_VIEW(Duration.ofSeconds(15), false);

  private final Duration maxWait;
  private final boolean needsConfiguration;

  HttpStart(Duration maxWait, boolean needsConfiguration) {
    this.maxWait = maxWait;
    this.needsConfiguration = needsConfiguration;
  }

  /** Returns the maximum wait for the view, from the start of the host's services. */
  Duration maxWait() {
    return maxWait;
  }

  /** Returns whether the ports may open with a view. */
  boolean mayOpen(boolean hasConfiguration) {
    return hasConfiguration || !needsConfiguration;
  }
}
