package org.alderyard.proxy.routing;

/**
 * What one proxy knows of its own work at one server.
 *
 * @param outstanding the statements that run or wait there
 * @param slots the statements that the server runs at once
 * @param latencyNanos the smoothed latency; 0 if unknown
 * @param weight the share of the usual work that the server gets, above 0 to 1
 * @param ejected whether it gets no reads for now
 */
public record ServerLoad(
    int outstanding, int slots, long latencyNanos, double weight, boolean ejected) {
  /** A server without any work yet. */
  public static final ServerLoad IDLE = new ServerLoad(0, 1, 0, 1.0, false);

  /** Returns the same load of a server that gets no reads for now. */
  public ServerLoad asEjected() {
    return new ServerLoad(outstanding, slots, latencyNanos, weight, true);
  }
}
