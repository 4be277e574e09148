package org.alderyard.control.promotion;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Searches for a replica whose log holds all acknowledged commits, in a group that acknowledges a
 * commit once a number of replicas have received it.
 *
 * <p>At most one less than that number of replicas may be neither paused nor the candidate. Each
 * acknowledged commit was then received by a paused replica, whose position the candidate has
 * reached, or by the candidate itself. A commit that is acknowledged after the search was received
 * by the candidate, because the replicas that are neither paused nor the candidate are too few.
 *
 * <p>A replica that started again counts like one that does not respond, until it is known to hold
 * the log of its primary: it may have lost commits that it acknowledged. A choice is final only
 * once each counted replica has announced its known incarnation after its last report, as a restart
 * in between would be unknown.
 *
 * <p>A replica that registers while the search runs may acknowledge too, so that the search fails
 * and is repeated with it.
 *
 * <p>Replicas that leave receive and acknowledge until they end, so they are asked too. One of them
 * is promoted if no other replica reaches its position.
 *
 * <p>While an earlier call may still be executed, its server stays the candidate: if another server
 * were promoted after it, the commits that it acknowledged in between could be missing.
 */
final class SynchronousReplicaSearch implements ReplicaSearch {
  private static final Logger log = LoggerFactory.getLogger(SynchronousReplicaSearch.class);

  /** The number of times that a candidate behind a paused replica is asked again. */
  private static final int MAX_CATCH_UP_CHECKS = 5;

  private static final Duration CATCH_UP_CHECK_DELAY = Duration.ofMillis(40);

  /** Longer than the interval of the announcements of a server. */
  static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 2_000;

  private static final Duration ANNOUNCEMENT_CHECK_DELAY = Duration.ofMillis(25);

  private final List<ServerState> replicas;
  private final ReplicaStarts starts;
  private final int syncReplicas;
  private final boolean primaryRuns;
  private final Optional<ServerId> calledServer;
  private final Supplier<CompletableFuture<Void>> confirmLeadership;
  private final BooleanSupplier replicasComplete;
  private final ReplicaCalls calls;
  private final MonotonicClock clock;
  // Written by one step of the search at a time.
  private final List<ServerState> paused = Collections.synchronizedList(new ArrayList<>());

  /**
   * Creates a search.
   *
   * @param replicas all replicas that may have acknowledged a commit
   * @param starts what is known of the starts of the replicas
   * @param syncReplicas the replicas that have received a commit before it is acknowledged; at
   *     least 1
   * @param primaryRuns whether the primary still sends commits, so that a replica that stays can
   *     catch up with one that leaves
   * @param calledServer the server that a pending call promotes, if there is one
   * @param replicasComplete whether the replicas are still all that may acknowledge a commit
   * @param confirmLeadership fails if this host no longer leads; a replica that a former leader
   *     pauses would stay paused
   */
  SynchronousReplicaSearch(
      List<ServerState> replicas,
      ReplicaStarts starts,
      int syncReplicas,
      boolean primaryRuns,
      Optional<ServerId> calledServer,
      BooleanSupplier replicasComplete,
      Supplier<CompletableFuture<Void>> confirmLeadership,
      ReplicaCalls calls,
      MonotonicClock clock) {
    this.replicas = replicas;
    this.starts = starts;
    this.syncReplicas = syncReplicas;
    this.primaryRuns = primaryRuns;
    this.calledServer = calledServer;
    this.replicasComplete = replicasComplete;
    this.confirmLeadership = confirmLeadership;
    this.calls = calls;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<ReplicaChoice> run() {
    return calls
        .probe(replicas)
        .thenCompose(this::pauseOthers)
        .exceptionally(
            failure -> {
              log.error("event=failover-search-failed", Futures.unwrap(failure));
              return fail("search");
            });
  }

  private CompletableFuture<ReplicaChoice> pauseOthers(List<Candidate> all) {
    List<Candidate> responding = all.stream().filter(this::holdsAcknowledged).toList();
    List<ServerState> restarted = restartedWithPendingCall(all);
    if (restarted.isEmpty()) {
      return pauseOthers(all, responding);
    }
    return pauseIfLeading(restarted, newestTerm(all) + 1, ignored -> pauseOthers(all, responding));
  }

  private CompletableFuture<ReplicaChoice> pauseOthers(
      List<Candidate> all, List<Candidate> responding) {
    if (responding.isEmpty()) {
      return CompletableFuture.completedFuture(fail("no-candidate"));
    }
    if (!isEnough(responding.size())) {
      return CompletableFuture.completedFuture(
          fail(isEnough(all.size()) ? "replica-restarted" : "replica-not-reached"));
    }
    if (isMissing(calledServer, responding)) {
      return CompletableFuture.completedFuture(fail("called-replica-not-reached"));
    }
    long pauseTerm = newestTerm(all) + 1;
    Candidate candidate = chooseCandidate(responding);
    List<ServerState> others =
        responding.stream()
            .map(Candidate::server)
            .filter(server -> !server.equals(candidate.server()))
            .toList();
    return pauseIfLeading(
        others,
        pauseTerm,
        stopped ->
            isEnough(stopped.size() + 1)
                ? check(candidate.server(), stopped, pauseTerm, 0)
                : CompletableFuture.completedFuture(fail("replica-not-paused")));
  }

  static long newestTerm(List<Candidate> candidates) {
    return candidates.stream()
        .map(Candidate::status)
        .mapToLong(status -> Math.max(status.term(), status.received().term()))
        .max()
        .orElse(0);
  }

  private boolean holdsAcknowledged(Candidate candidate) {
    boolean holds = !starts.mayLackCommits(candidate.server().id());
    if (!holds) {
      log.info(
          "event=failover-candidate server={} reached=true restarted=true received={}",
          candidate.server().id(),
          candidate.received());
    }
    return holds;
  }

  /**
   * Returns the replicas whose pause a restart has ended while a call may still be executed: the
   * server that it promotes would lack what they acknowledge. Empty if no call is pending.
   */
  private List<ServerState> restartedWithPendingCall(List<Candidate> all) {
    if (calledServer.isEmpty()) {
      return List.of();
    }
    return all.stream()
        .map(Candidate::server)
        .filter(server -> !calledServer.equals(Optional.of(server.id())))
        .filter(server -> starts.mayLackCommits(server.id()))
        .toList();
  }

  /** Returns whether a replica of the group has not reported its state. */
  private boolean isMissing(Optional<ServerId> replica, List<Candidate> responding) {
    return replicas.stream().map(ServerState::id).anyMatch(id -> replica.equals(Optional.of(id)))
        && find(replica, responding).isEmpty();
  }

  private static Optional<Candidate> find(Optional<ServerId> id, List<Candidate> candidates) {
    return candidates.stream()
        .filter(candidate -> id.equals(Optional.of(candidate.server().id())))
        .findFirst();
  }

  private Candidate chooseCandidate(List<Candidate> responding) {
    return find(calledServer, responding)
        .orElseGet(
            () ->
                Collections.max(
                    responding, primaryRuns ? Candidate.STAYING_FIRST : Candidate.BY_POSITION));
  }

  /** Returns whether each set of acknowledging replicas contains one of this number of replicas. */
  private boolean isEnough(int count) {
    return replicas.size() - count < syncReplicas;
  }

  /** Pauses servers if this host still leads, and goes on with those that have responded. */
  private CompletableFuture<ReplicaChoice> pauseIfLeading(
      List<ServerState> servers,
      long term,
      Function<List<Candidate>, CompletableFuture<ReplicaChoice>> next) {
    return confirmLeadership
        .get()
        .handle((confirmed, failure) -> failure == null)
        .thenCompose(
            leads -> {
              if (!leads) {
                return CompletableFuture.completedFuture(fail("leadership-not-confirmed"));
              }
              paused.addAll(servers);
              return calls.pause(servers, term).thenCompose(next);
            });
  }

  /** Chooses the candidate if it has reached the position of each paused replica. */
  private CompletableFuture<ReplicaChoice> check(
      ServerState candidate, List<Candidate> stopped, long pauseTerm, int checks) {
    Position highest =
        stopped.stream().map(Candidate::received).max(Position::compareTo).orElse(Position.NONE);
    return calls
        .probe(List.of(candidate))
        .thenCompose(
            reported -> {
              if (reported.isEmpty()) {
                return CompletableFuture.completedFuture(fail("candidate-not-reached"));
              }
              if (reported.get(0).received().compareTo(highest) >= 0) {
                return confirmIncarnations(
                    candidate, counted(candidate, stopped), clock.nowMillis());
              }
              if (!primaryRuns) {
                return choosePaused(candidate, stopped, pauseTerm);
              }
              return checks < MAX_CATCH_UP_CHECKS
                  ? calls
                      .delay(CATCH_UP_CHECK_DELAY)
                      .thenCompose(ignored -> check(candidate, stopped, pauseTerm, checks + 1))
                  : CompletableFuture.completedFuture(fail("candidate-behind"));
            });
  }

  /** Pauses the candidate too and chooses the replica with the highest position. */
  private CompletableFuture<ReplicaChoice> choosePaused(
      ServerState candidate, List<Candidate> stopped, long pauseTerm) {
    return pauseIfLeading(
        List.of(candidate),
        pauseTerm,
        reported -> {
          List<Candidate> all = new ArrayList<>(stopped);
          all.addAll(reported);
          if (!isEnough(all.size())) {
            return CompletableFuture.completedFuture(fail("replica-not-paused"));
          }
          ServerState newest = Collections.max(all, Candidate.BY_POSITION).server();
          return confirmIncarnations(newest, counted(newest, all), clock.nowMillis());
        });
  }

  private static Set<ServerState> counted(ServerState candidate, List<Candidate> stopped) {
    Set<ServerState> counted = new LinkedHashSet<>();
    counted.add(candidate);
    stopped.forEach(paused -> counted.add(paused.server()));
    return counted;
  }

  /**
   * Chooses the server once each counted replica has announced its known incarnation after its last
   * report. A server that has said goodbye makes no more announcements.
   *
   * @param reportedMillis when the last of the reports had arrived
   */
  private CompletableFuture<ReplicaChoice> confirmIncarnations(
      ServerState chosen, Set<ServerState> counted, long reportedMillis) {
    if (!replicasComplete.getAsBoolean()) {
      return CompletableFuture.completedFuture(fail("replicas-changed"));
    }
    Optional<ServerState> unconfirmed =
        counted.stream()
            .filter(server -> server.status() != ServerStatus.GONE)
            .filter(server -> !starts.isAnnouncedSince(server, reportedMillis))
            .findFirst();
    if (unconfirmed.isEmpty()) {
      return CompletableFuture.completedFuture(ReplicaChoice.of(chosen.id(), List.copyOf(paused)));
    }
    if (starts.mayLackCommits(unconfirmed.get().id())) {
      return CompletableFuture.completedFuture(fail("replica-restarted"));
    }
    if (clock.nowMillis() - reportedMillis > ANNOUNCEMENT_TIMEOUT_MILLIS) {
      return CompletableFuture.completedFuture(fail("replica-not-announced"));
    }
    return calls
        .delay(ANNOUNCEMENT_CHECK_DELAY)
        .thenCompose(ignored -> confirmIncarnations(chosen, counted, reportedMillis));
  }

  private ReplicaChoice fail(String reason) {
    return ReplicaChoice.failed(reason, List.copyOf(paused));
  }
}
