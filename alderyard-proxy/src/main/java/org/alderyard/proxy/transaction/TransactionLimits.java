package org.alderyard.proxy.transaction;

import java.time.Duration;

/**
 * The limits on the duration and number of transactions.
 *
 * @param idle the maximum time between two requests of a transaction
 * @param total the maximum time from begin to commit
 * @param maxOpen the maximum number of open transactions per proxy
 * @param maxEnded the number of ended transactions that are remembered to answer resent requests
 */
public record TransactionLimits(Duration idle, Duration total, int maxOpen, int maxEnded) {
  /** The default limits. */
  public static final TransactionLimits DEFAULT =
      new TransactionLimits(Duration.ofSeconds(10), Duration.ofSeconds(60), 1_000, 10_000);
}
