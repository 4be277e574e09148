package org.alderyard.proxy.watch;

/**
 * The times and bounds of a watcher.
 *
 * @param minProbeMillis the shortest time between two probes of a healthy primary
 * @param urgentProbeMillis the time between two probes once one failed or is late
 * @param lateMillis how long an answer may take before probes become urgent
 * @param probeTimeoutMillis how long an answer is waited for
 * @param maxOutstanding how many probes of one primary may wait for an answer
 * @param pauseMillis how long a primary may stop without being suspected
 * @param minDeviationMillis the least deviation of response times that is assumed
 * @param phiThreshold how improbable a silence must be: 8 is one in 10^8
 * @param failuresToSuspect how many refusals in a row make a primary suspected
 * @param probeBytes what a probe and its answer take on the wire
 * @param budgetBytesPerSecond what all probes of this host may take while all is well
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
  /** What is used when the settings say nothing. */
  public static final WatchOptions DEFAULT =
      new WatchOptions(100, 20, 100, 2_000, 4, 600, 10, 8.0, 3, 525, 3_000);

  /** Returns the time between two probes of each of so many primaries, within the budget. */
  public long probeMillis(int watched) {
    long affordable = watched * (long) probeBytes * 1_000 / budgetBytesPerSecond;
    return Math.max(minProbeMillis, affordable);
  }
}
