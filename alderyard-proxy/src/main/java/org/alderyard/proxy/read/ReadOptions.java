package org.alderyard.proxy.read;

import java.time.Duration;
import java.util.Objects;

/**
 * Options for routing and limiting reads.
 *
 * @param waitBudget the maximum time that a session read waits for a replica before it goes to the
 *     primary
 * @param queuePerServer the maximum number of statements that are queued for one server
 * @param routingLogSample logs one of this many routing decisions; refusals are always logged
 */
public record ReadOptions(Duration waitBudget, int queuePerServer, int routingLogSample) {
  /** The defaults for options that are not set. */
  public static final ReadOptions DEFAULT = new ReadOptions(Duration.ofMillis(300), 64, 1);

  /** Rejects null components. */
  public ReadOptions {
    Objects.requireNonNull(waitBudget);
  }
}
