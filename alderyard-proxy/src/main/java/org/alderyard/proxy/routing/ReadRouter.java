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
 * Selects the server that answers a read. Decisions depend only on the request, except for the
 * random draw of the {@link ServerChooser}.
 *
 * <p>The router prefers a replica that is fresh enough, then a replica that is expected to be fresh
 * enough within the wait budget, then the primary while it has capacity for reads. If every replica
 * is far behind, all reads would go to the primary and block its writes. Reads beyond the capacity
 * of the primary are therefore rejected with a retry delay.
 */
public final class ReadRouter {
  /** Retry delay of a rejected read if there is no estimate of when a replica catches up. */
  private static final long DEFAULT_RETRY_DELAY_MILLIS = 100;

  private static final long MAX_RETRY_DELAY_MILLIS = 5_000;

  private final ServerChooser chooser;
  private final long waitBudgetNanos;

  /** Creates a router that lets a read wait at most the given time for a replica. */
  public ReadRouter(ServerChooser chooser, long waitBudgetNanos) {
    this.chooser = Objects.requireNonNull(chooser);
    this.waitBudgetNanos = waitBudgetNanos;
  }

  /** Returns the routing decision for a read, which may be a refusal. */
  public RoutingDecision decide(ReadRequest read) {
    ReplicasByEligibility replicas = classify(read);
    if (read.demand().mode() == FreshnessMode.PRIMARY) {
      return routeToPrimary(read, RoutingReason.PRIMARY_DEMANDED, OptionalLong.empty());
    }
    if (!replicas.eligible.isEmpty()) {
      Candidate chosen = chooser.choose(replicas.eligible);
      OptionalLong age =
          chosen
              .freshness()
              .map(fresh -> fresh.ageBoundNanos(read.nowNanos()))
              .orElse(OptionalLong.empty());
      return RoutingDecision.replica(chosen.server(), age, replicas.eligible.size());
    }
    // Half of the remaining time is reserved for the primary, in case the replica doesn't catch up.
    long budget = Math.min(waitBudgetNanos, read.remainingNanos() / 2);
    Optional<RoutingDecision> shortWait =
        waitForReplica(RoutingReason.REPLICA_WAIT, read, replicas, budget);
    if (shortWait.isPresent()) {
      return shortWait.get();
    }
    if (read.primaryReadCapacity() <= 0) {
      Optional<RoutingDecision> longerWait =
          waitForReplica(
              RoutingReason.REPLICA_WAIT_PRIMARY_BUSY, read, replicas, read.remainingNanos() / 2);
      if (longerWait.isPresent()) {
        return longerWait.get();
      }
    }
    return routeToPrimary(read, primaryReason(read, replicas), replicas.minCatchUpNanos());
  }

  private static ReplicasByEligibility classify(ReadRequest read) {
    ReplicasByEligibility replicas = new ReplicasByEligibility();
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
              read.writtenByNanos(),
              read.nowNanos());
      if (eligibility.eligible()) {
        replicas.eligible.add(candidate);
      }
      if (eligibility.verdict() == Eligibility.Verdict.BEHIND) {
        replicas.behind.add(candidate);
        replicas.catchUpTimes.add(eligibility.catchUpNanos());
      }
    }
    return replicas;
  }

  private Optional<RoutingDecision> waitForReplica(
      RoutingReason reason, ReadRequest read, ReplicasByEligibility replicas, long budgetNanos) {
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < replicas.behind.size(); i++) {
      OptionalLong catchUpNanos = replicas.catchUpTimes.get(i);
      if (catchUpNanos.isPresent() && catchUpNanos.getAsLong() <= budgetNanos) {
        candidates.add(replicas.behind.get(i));
      }
    }
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        RoutingDecision.waitForReplica(
            reason,
            chooser.choose(candidates).server(),
            read.demand().requirement().position(),
            budgetNanos));
  }

  private static RoutingReason primaryReason(ReadRequest read, ReplicasByEligibility replicas) {
    if (read.demand().requirement().primaryOnly()) {
      return RoutingReason.PRIMARY_SESSION_FOLDED;
    }
    return replicas.behind.isEmpty()
        ? RoutingReason.PRIMARY_REPLICAS_UNKNOWN
        : RoutingReason.PRIMARY_REPLICAS_BEHIND;
  }

  private static RoutingDecision routeToPrimary(
      ReadRequest read, RoutingReason reason, OptionalLong minCatchUpNanos) {
    Optional<ServerState> primary = activePrimary(read);
    long retryDelayMillis = retryDelayMillis(minCatchUpNanos);
    if (primary.isEmpty()) {
      boolean anyActive =
          read.candidates().stream()
              .anyMatch(candidate -> candidate.server().status() == ServerStatus.ACTIVE);
      RoutingReason refusal =
          anyActive ? RoutingReason.REFUSED_NO_PRIMARY : RoutingReason.REFUSED_NO_SERVER;
      return RoutingDecision.refused(refusal, retryDelayMillis);
    }
    if (read.primaryReadCapacity() <= 0) {
      return RoutingDecision.refused(RoutingReason.REFUSED_PRIMARY_BUSY, retryDelayMillis);
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

  private static long retryDelayMillis(OptionalLong minCatchUpNanos) {
    if (minCatchUpNanos.isEmpty()) {
      return DEFAULT_RETRY_DELAY_MILLIS;
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(minCatchUpNanos.getAsLong()) + 1;
    return Math.min(MAX_RETRY_DELAY_MILLIS, Math.max(DEFAULT_RETRY_DELAY_MILLIS, millis));
  }

  /** The replicas that one read can use, by eligibility. */
  private static final class ReplicasByEligibility {
    final List<Candidate> eligible = new ArrayList<>();
    final List<Candidate> behind = new ArrayList<>();
    final List<OptionalLong> catchUpTimes = new ArrayList<>();

    OptionalLong minCatchUpNanos() {
      return catchUpTimes.stream()
          .filter(OptionalLong::isPresent)
          .mapToLong(OptionalLong::getAsLong)
          .min();
    }
  }
}
