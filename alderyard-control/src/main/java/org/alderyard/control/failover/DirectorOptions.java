package org.alderyard.control.failover;

/**
 * Timeouts and limits of failovers.
 *
 * @param catchUpTimeoutMillis how long a planned hand-over waits for a replica to reach the
 *     primary's position
 * @param resendMillis the delay before a request without a response is sent again
 * @param quorumTimeoutMillis how long servers are fenced without reaching a majority before the
 *     lack of a quorum is reported
 * @param promotionTimeoutMillis how long the chosen server may take to confirm its promotion
 * @param maxConcurrentFailovers the maximum number of groups in a failover at the same time
 * @param flapWindowMillis how long a grant counts towards the backoff of its group
 * @param flapBaseMillis the backoff after the second grant within the window; each further grant
 *     doubles it
 * @param flapMaxMillis the maximum backoff between two grants
 */
public record DirectorOptions(
    long catchUpTimeoutMillis,
    long resendMillis,
    long quorumTimeoutMillis,
    long promotionTimeoutMillis,
    int maxConcurrentFailovers,
    long flapWindowMillis,
    long flapBaseMillis,
    long flapMaxMillis) {
  /** The options used unless settings override them. */
  public static final DirectorOptions DEFAULT =
      new DirectorOptions(150, 100, 1_000, 500, 128, 60_000, 500, 16_000);
}
