package org.alderyard.proxy.callersession;

import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;

/**
 * Scores the servers of a group for a read, by the milliseconds that it is expected to take there.
 */
final class ReadScores {
  /**
   * Penalty for a server in another availability zone: the round trip and the cost of the traffic.
   */
  private static final double OTHER_ZONE_PENALTY_MILLIS = 6;

  /**
   * Penalty for reads on the primary. Only the primary can run writes, so reads use a replica
   * unless replicas are slower by more than this.
   */
  private static final double PRIMARY_PENALTY_MILLIS = 10;

  /**
   * Penalty for a replica that probably lacks the position and would refuse the read; the primary
   * certainly holds it.
   */
  private static final double MISSING_POSITION_PENALTY_MILLIS = 500;

  /**
   * Penalty for an expired server, which may still serve this host; other servers are preferred.
   */
  private static final double EXPIRED_PENALTY_MILLIS = 1_000;

  /**
   * Penalty for each statement that a server failed recently: another one would cost the read a
   * further attempt.
   */
  private static final double FAILED_PENALTY_MILLIS = 100;

  private static final double BACKOFF_PENALTY_MILLIS = 100_000;

  private final ZoneName zone;

  /** Creates scores for a host in the given availability zone. */
  ReadScores(ZoneName zone) {
    this.zone = zone;
  }

  /** Returns the score of a server; the lowest is best. */
  double millis(
      ServerState server,
      ServerTracker tracker,
      boolean isPrimary,
      GroupRouting.Floor floor,
      long nowNanos) {
    double millis = tracker.expectedMillis();
    millis += server.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY_MILLIS;
    millis += isPrimary ? PRIMARY_PENALTY_MILLIS : 0;
    millis +=
        isPrimary || tracker.likelyHolds(floor.position(), nowNanos - floor.sinceNanos())
            ? 0
            : MISSING_POSITION_PENALTY_MILLIS;
    millis += server.status() == ServerStatus.EXPIRED ? EXPIRED_PENALTY_MILLIS : 0;
    millis += tracker.recentFailures(nowNanos) * FAILED_PENALTY_MILLIS;
    millis += tracker.inBackoff(nowNanos) ? BACKOFF_PENALTY_MILLIS : 0;
    return millis;
  }
}
