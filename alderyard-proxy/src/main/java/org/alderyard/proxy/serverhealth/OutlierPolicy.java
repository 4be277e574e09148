package org.alderyard.proxy.serverhealth;

import java.util.Optional;

/** Decides whether a server's recent reads differ too much from those of its group's others. */
final class OutlierPolicy {
  /** Failed reads below this may be single statements that fail on any server. */
  private static final double MIN_FAILED = 3;

  /** A read is retried once, so that a smaller share of failures rarely reaches a caller. */
  private static final double MIN_EXCESS_FAILED_SHARE = 0.2;

  /** Answers that a mean response time needs on both sides of the comparison. */
  private static final double MIN_ANSWERED = 8;

  /** A read on such a server takes longer than one attempt on it and one on another server. */
  private static final double SLOW_FACTOR = 3;

  /** Smaller differences are not worth a second server, as with the round trip between zones. */
  private static final double MIN_SLOWER_MILLIS = 20;

  /** Why a server is an outlier. */
  enum Reason {
    FAILURES,
    SLOW
  }

  private OutlierPolicy() {}

  /**
   * Returns why a server is an outlier; empty if it is not.
   *
   * @param server the reads of the server
   * @param others the recent reads of the group's other servers together
   * @param judgeSpeed whether response times count; not so for a server that is paced for them
   */
  static Optional<Reason> outlier(
      ServerReads server, ReadSums others, boolean judgeSpeed, long nowNanos) {
    ReadSums recent = server.recent(nowNanos);
    if (recent.failed() >= MIN_FAILED
        && server.recentFailedShare() - others.failedShare() >= MIN_EXCESS_FAILED_SHARE) {
      return Optional.of(Reason.FAILURES);
    }
    boolean comparable =
        judgeSpeed && recent.answered() >= MIN_ANSWERED && others.answered() >= MIN_ANSWERED;
    return comparable && isSlow(server.recentMillis(), others.meanMillis())
        ? Optional.of(Reason.SLOW)
        : Optional.empty();
  }

  /** Returns whether a response time is far above that of the other servers. */
  static boolean isSlow(double millis, double othersMillis) {
    return millis >= SLOW_FACTOR * othersMillis && millis >= othersMillis + MIN_SLOWER_MILLIS;
  }

  /** Returns whether reads of other hosts show that an ejected server serves again. */
  static boolean servesAgain(ReadSums reported, double othersMillis) {
    return reported.answered() >= Ejection.TRIALS
        && reported.failed() < 1
        && !isSlow(reported.meanMillis(), othersMillis);
  }
}
