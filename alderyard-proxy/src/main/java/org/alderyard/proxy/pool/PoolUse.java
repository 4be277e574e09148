package org.alderyard.proxy.pool;

/**
 * The recent use of one server's connections.
 *
 * @param open the number of connections that are open or being opened
 * @param peakInUse the maximum number of connections in use or being opened since the last call
 * @param queuedRequests the number of queued requests for a connection
 * @param activeOwners the number of organisations that used a connection within the last seconds
 */
public record PoolUse(int open, int peakInUse, int queuedRequests, int activeOwners) {
  /** The use of a server without connections. */
  public static final PoolUse NONE = new PoolUse(0, 0, 0, 0);
}
