package org.alderyard.proxy.freshness;

import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;

/** Decides whether a replica is fresh enough for a read. Pure. */
public final class EligibilityRule {

  private EligibilityRule() {}

  /**
   * Decides for one replica.
   *
   * @param demand what the read demands
   * @param group the group in the view that the read is routed by
   * @param server the replica in the same view
   * @param known what is known of the replica
   * @param reachedNanos by when the primary had written the demanded position, if measured
   * @param nowNanos the clock
   */
  public static Eligibility decide(
      ReadDemand demand,
      GroupState group,
      ServerState server,
      Optional<ServerFreshness> known,
      OptionalLong reachedNanos,
      long nowNanos) {
    // Positions of an earlier start say nothing: the server may have come back from a backup.
    Optional<ServerFreshness> current =
        known.filter(fresh -> fresh.incarnation() == server.incarnation());
    if (current.isEmpty()) {
      return Eligibility.of(Eligibility.Verdict.UNKNOWN);
    }
    ServerFreshness fresh = current.get();
    if (diverged(group, fresh.applied())) {
      return Eligibility.of(Eligibility.Verdict.DIVERGED);
    }
    return switch (demand.mode()) {
      case ANY -> Eligibility.of(Eligibility.Verdict.ELIGIBLE);
      case PRIMARY -> Eligibility.behind(OptionalLong.empty());
      case BOUNDED -> bounded(demand, fresh, reachedNanos, nowNanos);
      case SESSION -> session(demand, fresh, reachedNanos, nowNanos);
    };
  }

  /**
   * Whether the server holds entries that no primary of a later term holds.
   *
   * <p>A replaced primary that comes back shows a high index until it has dropped its lost tail.
   */
  private static boolean diverged(GroupState group, Position applied) {
    return applied.term() > group.term() || group.lost(applied);
  }

  private static Eligibility bounded(
      ReadDemand demand, ServerFreshness fresh, OptionalLong reachedNanos, long nowNanos) {
    Eligibility ofSession = session(demand, fresh, reachedNanos, nowNanos);
    if (!ofSession.eligible()) {
      return ofSession;
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
      ReadDemand demand, ServerFreshness fresh, OptionalLong reachedNanos, long nowNanos) {
    if (demand.requirement().primaryOnly()) {
      return Eligibility.behind(OptionalLong.empty());
    }
    Position needed = demand.requirement().position();
    if (covers(fresh.applied(), needed)) {
      return Eligibility.of(Eligibility.Verdict.ELIGIBLE);
    }
    if (fresh.lagNanos().isEmpty()) {
      return Eligibility.behind(OptionalLong.empty());
    }
    long elapsed = Math.max(0, nowNanos - reachedNanos.orElse(nowNanos));
    return Eligibility.behind(
        OptionalLong.of(remainingNanos(fresh.lagNanos().getAsLong(), elapsed)));
  }

  /**
   * How long until an entry arrives that was written a while ago.
   *
   * <p>An entry that is overdue is expected to take as long again as it is overdue: a replica that
   * stopped would look about to catch up for ever otherwise, and each read would wait in vain.
   */
  private static long remainingNanos(long usualNanos, long elapsedNanos) {
    return Math.abs(usualNanos - elapsedNanos);
  }

  /**
   * Returns whether a server that has applied one position holds the other one as well.
   *
   * <p>The term alone is not enough for a server that reports its term before its log has caught
   * up, so the index counts as well.
   */
  public static boolean covers(Position applied, Position needed) {
    return applied.term() >= needed.term() && applied.index() >= needed.index();
  }
}
