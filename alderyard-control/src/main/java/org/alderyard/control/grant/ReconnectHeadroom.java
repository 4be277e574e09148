package org.alderyard.control.grant;

/**
 * Limits the grants of a server that refuses excess connections itself. Stateless.
 *
 * <p>When all hosts lose power, a server counts their failed connections for some seconds more. If
 * the hosts held all that it accepts, it refuses their new connections until then, and the
 * statements of their callers fail. While demand permits, all hosts together therefore hold less
 * than half of the connections that the server accepts, so that all of them can reconnect.
 */
final class ReconnectHeadroom {
  private ReconnectHeadroom() {}

  /** Returns the largest count that leaves the server capacity for the same count plus one. */
  static int steadyStateLimit(int accepted) {
    return Math.max(0, (accepted - 1) / 2);
  }

  /**
   * Returns the number of connections to grant to all hosts together.
   *
   * @param accepted the connections that the server accepts
   * @param grantable the upper bound of the connections that may be granted
   * @param needed the sum of the connections that the hosts have demand for
   */
  static int available(int accepted, int grantable, int needed) {
    return Math.min(grantable, Math.max(steadyStateLimit(accepted), needed));
  }
}
