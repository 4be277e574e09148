package org.alderyard.proxy.routing;

/**
 * Snapshot of one proxy's load on one server.
 *
 * @param outstanding the number of statements that run on the server or are queued for it
 * @param slots the number of statements that the server runs concurrently
 * @param latencyNanos the smoothed latency; 0 if unknown
 * @param weight the fraction of its normal load that the server receives, greater than 0 and at
 *     most 1
 * @param ejected whether the server currently receives no reads
 */
public record ServerLoad(
    int outstanding, int slots, long latencyNanos, double weight, boolean ejected) {
  /** The load of a server without any statements. */
  public static final ServerLoad IDLE = new ServerLoad(0, 1, 0, 1.0, false);

  /** Returns a copy that is marked as ejected. */
  public ServerLoad asEjected() {
    return new ServerLoad(outstanding, slots, latencyNanos, weight, true);
  }
}
