package org.alderyard.proxy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.proxy.freshness.Eligibility;
import org.alderyard.proxy.freshness.EligibilityRule;
import org.alderyard.proxy.freshness.FreshnessMode;

/**
 * Decides which server answers a read. Pure, apart from the draw of the chooser.
 *
 * <p>A replica that is fresh enough comes first; then one that is expected to be within the budget
 * for waiting; then the primary, as long as it has room for reads. When every replica is far behind
 * the primary would get all reads and no write would pass: what it has no room for is refused with
 * a hint of when to come back.
 */
public final class ReadRouter {
  /** When a refused caller should come back if nothing better is known. */
  private static final long DEFAULT_RETRY_MILLIS = 100;

  private static final long MAX_RETRY_MILLIS = 5_000;

  private final ServerChooser chooser;
  private final long waitBudgetNanos;

  /** Creates a router that lets a read wait for a replica for at most the given budget. */
  public ReadRouter(ServerChooser chooser, long waitBudgetNanos) {
    this.chooser = Objects.requireNonNull(chooser);
    this.waitBudgetNanos = waitBudgetNanos;
  }

  /** Decides for one read. */
  public RoutingDecision decide(ReadRequest read) {
    Sorted sorted = sort(read);
    if (read.demand().mode() == FreshnessMode.PRIMARY) {
      return primary(read, RoutingReason.PRIMARY_DEMANDED, OptionalLong.empty());
    }
    if (!sorted.eligible.isEmpty()) {
      Candidate chosen = chooser.choose(sorted.eligible);
      OptionalLong age =
          chosen
              .freshness()
              .map(f -> f.ageBoundNanos(read.nowNanos()))
              .orElse(OptionalLong.empty());
      return RoutingDecision.replica(chosen.server(), age, sorted.eligible.size());
    }
    // Half of the deadline stays for the primary, should the replica not arrive.
    long budget = Math.min(waitBudgetNanos, read.remainingNanos() / 2);
    Optional<RoutingDecision> waiting = waiting(RoutingReason.REPLICA_WAIT, read, sorted, budget);
    if (waiting.isPresent()) {
      return waiting.get();
    }
    if (read.primaryReadRoom() <= 0) {
      Optional<RoutingDecision> longer =
          waiting(RoutingReason.REPLICA_WAIT_PRIMARY_BUSY, read, sorted, read.remainingNanos() / 2);
      if (longer.isPresent()) {
        return longer.get();
      }
    }
    return primary(read, primaryReason(read, sorted), sorted.soonestNanos());
  }

  private static Sorted sort(ReadRequest read) {
    Sorted sorted = new Sorted();
    for (Candidate candidate : read.candidates()) {
      ServerState server = candidate.server();
      boolean isPrimary = read.group().primary().equals(Optional.of(server.id()));
      if (isPrimary || server.status() != ServerStatus.ACTIVE || candidate.load().ejected()) {
        continue;
      }
      Eligibility eligibility =
          EligibilityRule.decide(
              read.demand(),
              read.group(),
              server,
              candidate.freshness(),
              read.reachedNanos(),
              read.nowNanos());
      if (eligibility.eligible()) {
        sorted.eligible.add(candidate);
      }
      if (eligibility.verdict() == Eligibility.Verdict.BEHIND) {
        sorted.behind.add(candidate);
        sorted.arrivals.add(eligibility.catchUpNanos());
      }
    }
    return sorted;
  }

  private Optional<RoutingDecision> waiting(
      RoutingReason reason, ReadRequest read, Sorted sorted, long budgetNanos) {
    List<Candidate> inTime = new ArrayList<>();
    for (int i = 0; i < sorted.behind.size(); i++) {
      OptionalLong arrival = sorted.arrivals.get(i);
      if (arrival.isPresent() && arrival.getAsLong() <= budgetNanos) {
        inTime.add(sorted.behind.get(i));
      }
    }
    if (inTime.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        RoutingDecision.waiting(
            reason,
            chooser.choose(inTime).server(),
            read.demand().requirement().position(),
            budgetNanos));
  }

  private static RoutingReason primaryReason(ReadRequest read, Sorted sorted) {
    if (read.demand().requirement().primaryOnly()) {
      return RoutingReason.PRIMARY_SESSION_FOLDED;
    }
    return sorted.behind.isEmpty()
        ? RoutingReason.PRIMARY_REPLICAS_UNKNOWN
        : RoutingReason.PRIMARY_REPLICAS_BEHIND;
  }

  private static RoutingDecision primary(
      ReadRequest read, RoutingReason reason, OptionalLong soonestNanos) {
    Optional<ServerState> primary = activePrimary(read);
    long retryMillis = retryMillis(soonestNanos);
    if (primary.isEmpty()) {
      boolean anyActive =
          read.candidates().stream().anyMatch(c -> c.server().status() == ServerStatus.ACTIVE);
      RoutingReason refusal =
          anyActive ? RoutingReason.REFUSED_NO_PRIMARY : RoutingReason.REFUSED_NO_SERVER;
      return RoutingDecision.refused(refusal, retryMillis);
    }
    if (read.primaryReadRoom() <= 0) {
      return RoutingDecision.refused(RoutingReason.REFUSED_PRIMARY_BUSY, retryMillis);
    }
    return RoutingDecision.primary(reason, primary.get());
  }

  private static Optional<ServerState> activePrimary(ReadRequest read) {
    GroupState group = read.group();
    return read.candidates().stream()
        .map(Candidate::server)
        .filter(server -> group.primary().equals(Optional.of(server.id())))
        .filter(server -> server.status() != ServerStatus.EXPIRED)
        .findFirst();
  }

  private static long retryMillis(OptionalLong soonestNanos) {
    if (soonestNanos.isEmpty()) {
      return DEFAULT_RETRY_MILLIS;
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(soonestNanos.getAsLong()) + 1;
    return Math.min(MAX_RETRY_MILLIS, Math.max(DEFAULT_RETRY_MILLIS, millis));
  }

  /** The replicas of one read by what they can do for it. */
  private static final class Sorted {
    final List<Candidate> eligible = new ArrayList<>();
    final List<Candidate> behind = new ArrayList<>();
    final List<OptionalLong> arrivals = new ArrayList<>();

    OptionalLong soonestNanos() {
      return arrivals.stream()
          .filter(OptionalLong::isPresent)
          .mapToLong(OptionalLong::getAsLong)
          .min();
    }
  }
}
