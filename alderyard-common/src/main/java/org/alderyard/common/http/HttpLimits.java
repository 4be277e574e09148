package org.alderyard.common.http;

import java.time.Duration;

/**
 * What an HTTP port accepts from its clients.
 *
 * @param maxHeaderBytes the most bytes of all headers
 * @param maxBodyBytes the most bytes of a body
 * @param maxHeldBytes the most bytes of the bodies of all requests that are under way
 * @param requestTimeout how long a client may take to send a request
 * @param idleTimeout how long a connection may be idle
 */
public record HttpLimits(
    int maxHeaderBytes,
    long maxBodyBytes,
    long maxHeldBytes,
    Duration requestTimeout,
    Duration idleTimeout) {
  /** Of the heap, what the bodies of a port may hold; the rest is for the state and the answers. */
  private static final long HEAP_PART = 8;

  /** Creates limits whose requests together hold an eighth of the heap, or one largest body. */
  public HttpLimits(
      int maxHeaderBytes, long maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {
    this(
        maxHeaderBytes,
        maxBodyBytes,
        Math.max(maxBodyBytes, Runtime.getRuntime().maxMemory() / HEAP_PART),
        requestTimeout,
        idleTimeout);
  }
}
