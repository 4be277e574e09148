package org.alderyard.proxy.pool;

/**
 * How one server's connections were used of late.
 *
 * @param open the connections that are open or being opened
 * @param peakInUse the most that were in use at once since the last reading
 * @param waiting the requests that wait for one now
 */
public record PoolUse(int open, int peakInUse, int waiting) {
  /** A server without any connection. */
  public static final PoolUse NONE = new PoolUse(0, 0, 0);
}
