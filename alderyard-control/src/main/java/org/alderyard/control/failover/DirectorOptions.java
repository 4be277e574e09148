package org.alderyard.control.failover;

/**
 * The times and bounds of the director.
 *
 * @param drainMillis how long a planned hand-over waits for a replica to hold all of the primary
 * @param resendMillis after how long a request without an answer is sent again
 * @param noQuorumAfterMillis after how long too few answers are called a lack of quorum
 * @param promoteMillis how long the chosen server has to take the term
 * @param maxConcurrent how many groups are in a failover at once
 * @param flapWindowMillis how long a grant counts against its group
 * @param flapBaseMillis the wait after the second grant within the window, doubled with each more
 * @param flapMaxMillis the longest wait between two grants
 */
public record DirectorOptions(
    long drainMillis,
    long resendMillis,
    long noQuorumAfterMillis,
    long promoteMillis,
    int maxConcurrent,
    long flapWindowMillis,
    long flapBaseMillis,
    long flapMaxMillis) {
  /** What is used when the settings say nothing. */
  public static final DirectorOptions DEFAULT =
      new DirectorOptions(150, 100, 1_000, 500, 128, 60_000, 500, 16_000);
}
