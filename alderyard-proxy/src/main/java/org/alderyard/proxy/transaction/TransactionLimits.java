package org.alderyard.proxy.transaction;

import java.time.Duration;

/**
 * How long transactions may hold their connection, and how many there may be.
 *
 * @param idle the longest time between two requests
 * @param total the longest time from begin to commit
 * @param maxOpen the most open transactions of one proxy
 * @param maxEnded how many ended ones are remembered, to answer a request that is sent again
 */
public record TransactionLimits(Duration idle, Duration total, int maxOpen, int maxEnded) {
  /** The limits that hold unless another set is given. */
  public static final TransactionLimits DEFAULT =
      new TransactionLimits(Duration.ofSeconds(10), Duration.ofSeconds(60), 1_000, 10_000);
}
