package org.alderyard.proxy.watch;

/**
 * Timing and limits of a watcher.
 *
 * @param minProbeMillis the minimum probe interval of a healthy primary
 * @param urgentProbeMillis the probe interval after a probe failed or while an answer is late
 * @param lateMillis the time without an answer after which probes become urgent
 * @param probeTimeoutMillis the timeout of a probe
 * @param maxOutstanding the maximum number of unanswered probes of one primary
 * @param pauseMillis the duration of a pause of the primary that is tolerated
 * @param minDeviationMillis the minimum standard deviation that is assumed for response times
 * @param phiThreshold the phi value from which a primary is suspected; with 8, an answer still
 *     arrives with a probability of 1 in 10^8
 * @param failuresToSuspect the number of consecutive failures after which a primary is suspected
 * @param probeBytes the size of a probe and its answer on the wire
 * @param budgetBytesPerSecond the bandwidth budget for the probes of this host in steady state
 */
public record WatchOptions(
    long minProbeMillis,
    long urgentProbeMillis,
    long lateMillis,
    long probeTimeoutMillis,
    int maxOutstanding,
    long pauseMillis,
    long minDeviationMillis,
    double phiThreshold,
    int failuresToSuspect,
    int probeBytes,
    int budgetBytesPerSecond) {
  /** The defaults for options that are not set. */
  public static final WatchOptions DEFAULT =
      new WatchOptions(100, 20, 100, 2_000, 4, 600, 10, 8.0, 3, 525, 3_000);

  /** Returns the probe interval for the given number of primaries, within the bandwidth budget. */
  public long probeMillis(int primaryCount) {
    long intervalWithinBudget = primaryCount * (long) probeBytes * 1_000 / budgetBytesPerSecond;
    return Math.max(minProbeMillis, intervalWithinBudget);
  }
}
