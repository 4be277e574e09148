package org.alderyard.common.http;

import java.time.Duration;

/**
 * What an HTTP port accepts from its clients.
 *
 * @param maxHeaderBytes the most bytes of all headers
 * @param maxBodyBytes the most bytes of a body
 * @param requestTimeout how long a client may take to send a request
 * @param idleTimeout how long a connection may be idle
 */
public record HttpLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {
  /** The limits that hold unless the settings say otherwise. */
  public static final HttpLimits DEFAULT =
      new HttpLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(10), Duration.ofMinutes(5));
}
