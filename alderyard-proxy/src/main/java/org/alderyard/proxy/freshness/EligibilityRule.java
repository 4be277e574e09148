package org.alderyard.proxy.freshness;

import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;

/** Decides whether a replica is fresh enough for a read. The functions have no side effects. */
public final class EligibilityRule {

  private EligibilityRule() {}

  /**
   * Checks one replica against one read.
   *
   * @param demand the freshness that the read requires
   * @param group the group, in the view that the read is routed by
   * @param server the replica, in the same view
   * @param known the measured freshness of the replica; empty before the first measurement
   * @param writtenByNanos a time by which the primary had written the required position; empty if
   *     not measured
   * @param nowNanos the current time of the monotonic clock
   */
  public static Eligibility decide(
      ReadDemand demand,
      GroupState group,
      ServerState server,
      Optional<ServerFreshness> known,
      OptionalLong writtenByNanos,
      long nowNanos) {
    // Positions from an earlier incarnation are ignored: the server may have been restored from a
    // backup.
    Optional<ServerFreshness> measured =
        known.filter(fresh -> fresh.incarnation() == server.incarnation());
    if (measured.isEmpty()) {
      return Eligibility.of(Eligibility.Verdict.UNKNOWN);
    }
    ServerFreshness fresh = measured.get();
    if (diverged(group, fresh.applied())) {
      return Eligibility.of(Eligibility.Verdict.DIVERGED);
    }
    return switch (demand.mode()) {
      case ANY -> Eligibility.of(Eligibility.Verdict.ELIGIBLE);
      case PRIMARY -> Eligibility.behind(OptionalLong.empty());
      case BOUNDED -> bounded(demand, fresh, writtenByNanos, nowNanos);
      case SESSION -> session(demand, fresh, writtenByNanos, nowNanos);
    };
  }

  /**
   * Returns whether the server holds entries that no primary of a later term holds.
   *
   * <p>A replaced primary that rejoins the group reports a high index until it has truncated the
   * lost tail of its log.
   */
  private static boolean diverged(GroupState group, Position applied) {
    return applied.term() > group.term() || group.isLost(applied);
  }

  private static Eligibility bounded(
      ReadDemand demand, ServerFreshness fresh, OptionalLong writtenByNanos, long nowNanos) {
    Eligibility sessionEligibility = session(demand, fresh, writtenByNanos, nowNanos);
    if (!sessionEligibility.eligible()) {
      return sessionEligibility;
    }
    OptionalLong age = fresh.ageBoundNanos(nowNanos);
    if (age.isEmpty()) {
      return Eligibility.of(Eligibility.Verdict.UNKNOWN);
    }
    return age.getAsLong() <= demand.maxStalenessNanos()
        ? Eligibility.of(Eligibility.Verdict.ELIGIBLE)
        : Eligibility.behind(OptionalLong.empty());
  }

  private static Eligibility session(
      ReadDemand demand, ServerFreshness fresh, OptionalLong writtenByNanos, long nowNanos) {
    if (demand.requirement().primaryOnly()) {
      return Eligibility.behind(OptionalLong.empty());
    }
    Position required = demand.requirement().position();
    if (covers(fresh.applied(), required)) {
      return Eligibility.of(Eligibility.Verdict.ELIGIBLE);
    }
    if (fresh.lagNanos().isEmpty()) {
      return Eligibility.behind(OptionalLong.empty());
    }
    long elapsed = Math.max(0, nowNanos - writtenByNanos.orElse(nowNanos));
    return Eligibility.behind(
        OptionalLong.of(remainingNanos(fresh.lagNanos().getAsLong(), elapsed)));
  }

  /**
   * Estimates the time until the replica applies an entry that was written some time ago.
   *
   * <p>An overdue entry is expected after another delay of the length by which it is overdue.
   * Otherwise a replica that has stopped applying would always seem about to catch up, and every
   * read would wait for it until the timeout.
   */
  private static long remainingNanos(long lagNanos, long elapsedNanos) {
    return Math.abs(lagNanos - elapsedNanos);
  }

  /**
   * Returns whether a server that has applied one position also holds the required position.
   *
   * <p>Both term and index are compared, because a server may report a new term before its log has
   * caught up with that term.
   */
  public static boolean covers(Position applied, Position required) {
    return applied.term() >= required.term() && applied.index() >= required.index();
  }
}
