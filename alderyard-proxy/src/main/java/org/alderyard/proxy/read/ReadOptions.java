package org.alderyard.proxy.read;

import java.time.Duration;
import java.util.Objects;

/**
 * How reads are routed and limited.
 *
 * @param waitBudget how long a session read may wait for a replica before it goes to the primary
 * @param queuePerServer the statements that wait for one server, at most
 * @param routingLogSample of how many routing decisions one is logged; refusals are always logged
 */
public record ReadOptions(Duration waitBudget, int queuePerServer, int routingLogSample) {
  /** What holds unless the settings say otherwise. */
  public static final ReadOptions DEFAULT = new ReadOptions(Duration.ofMillis(300), 64, 1);

  /** Checks. */
  public ReadOptions {
    Objects.requireNonNull(waitBudget);
  }
}
