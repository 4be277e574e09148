package org.alderyard.proxy.serverhealth;

import java.util.concurrent.TimeUnit;

/**
 * Recent reads at one incarnation of a server: those of this host, and the sums that other hosts
 * reported. Older ones count for less; the receiver's clock ages the reports.
 */
final class ServerReads {
  /** Time in which an observation counts for half; some statement timeouts of callers. */
  private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Reports expire after this time: four heartbeats of a host without a new one. */
  static final long REPORT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Weight of one read in the recent share and time; about the last 16 reads count. */
  private static final double RECENT_WEIGHT = 1 / 16.0;

  private double recentFailedShare;
  private double recentMillis;
  private boolean hasAnswers;

  /** Reads that were not yet reported to other hosts. */
  private ReadSums unreported = ReadSums.NONE;

  private ReadSums own = ReadSums.NONE;
  private long ownNanos;
  private ReadSums reported = ReadSums.NONE;
  private long reportedNanos;

  void add(ReadOutcome outcome, double millis, long nowNanos) {
    ReadSums one = ReadSums.of(outcome, millis);
    own = own(nowNanos).plus(one);
    ownNanos = nowNanos;
    unreported = unreported.plus(one);
    addRecent(one);
  }

  /** Adds what other hosts reported since the last call. */
  void addReported(ReadSums sums, long nowNanos) {
    reported = reported(nowNanos).plus(sums);
    reportedNanos = nowNanos;
    addRecent(sums);
  }

  private void addRecent(ReadSums sums) {
    double kept = Math.pow(1 - RECENT_WEIGHT, sums.answered() + sums.failed());
    recentFailedShare = kept * recentFailedShare + (1 - kept) * sums.failedShare();
    if (sums.answered() > 0) {
      double keptMillis = hasAnswers ? Math.pow(1 - RECENT_WEIGHT, sums.answered()) : 0;
      recentMillis = keptMillis * recentMillis + (1 - keptMillis) * sums.meanMillis();
      hasAnswers = true;
    }
  }

  /**
   * Returns the failed share of about the last 16 reads. It does not depend on how many reads
   * succeeded before a fault began.
   */
  double recentFailedShare() {
    return recentFailedShare;
  }

  /** Returns the mean response time of about the last 16 answered reads; 0 without any. */
  double recentMillis() {
    return recentMillis;
  }

  /** Returns the recent reads of this host and of those that reported. */
  ReadSums recent(long nowNanos) {
    return own(nowNanos).plus(reported(nowNanos));
  }

  private ReadSums own(long nowNanos) {
    return own.equals(ReadSums.NONE) ? own : own.scaled(decay(nowNanos - ownNanos));
  }

  private ReadSums reported(long nowNanos) {
    boolean expired = nowNanos - reportedNanos >= REPORT_LIFETIME_NANOS;
    return expired || reported.equals(ReadSums.NONE)
        ? ReadSums.NONE
        : reported.scaled(decay(nowNanos - reportedNanos));
  }

  private static double decay(long ageNanos) {
    return Math.pow(0.5, ageNanos / HALF_LIFE_NANOS);
  }

  /** Forgets all observations, for a server that has shown that it serves again. */
  void clear() {
    own = ReadSums.NONE;
    recentFailedShare = 0;
    hasAnswers = false;
    reported = ReadSums.NONE;
  }

  /** Returns the reads since the last call, to be reported. */
  ReadSums takeUnreported() {
    ReadSums taken = unreported;
    unreported = ReadSums.NONE;
    return taken;
  }
}
