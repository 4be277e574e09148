package org.alderyard.common.http;

import java.time.Duration;

/**
 * The limits that an HTTP port applies to its clients.
 *
 * @param maxHeaderBytes the maximum size of all headers of a request, in bytes
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param maxReservedBytes the maximum size of all bodies of the requests in progress, in bytes
 * @param requestTimeout the time in which a client must send a complete request
 * @param idleTimeout the time after which an idle connection is closed
 */
public record HttpLimits(
    int maxHeaderBytes,
    long maxBodyBytes,
    long maxReservedBytes,
    Duration requestTimeout,
    Duration idleTimeout) {
  /** The bodies of a port may use 1/8 of the heap; the rest is for state and responses. */
  private static final long HEAP_DIVISOR = 8;

  /**
   * Creates limits that allow the bodies of all requests an eighth of the heap, and at least one
   * body of the maximum size.
   */
  public HttpLimits(
      int maxHeaderBytes, long maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {
    this(
        maxHeaderBytes,
        maxBodyBytes,
        Math.max(maxBodyBytes, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR),
        requestTimeout,
        idleTimeout);
  }
}
