package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.start.StartStage;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.view.LeasedView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one statement on a suitable server of its database group.
 *
 * <p>Another server is tried only if the statement cannot have taken effect: after the server
 * refused it, after the connection broke before the statement was sent, or if the statement is safe
 * to repeat. Any other failure after a write was sent leaves the outcome unknown.
 *
 * <p>Locking: the instance monitor is a leaf lock; servers are called after it is released.
 */
final class StatementRun {
  private static final Logger log = LoggerFactory.getLogger(StatementRun.class);

  /** Long enough for a slot to become free, short against the smallest objective, 100 ms. */
  private static final long INITIAL_BACKOFF_MILLIS = 8;

  private static final long MAX_BACKOFF_MILLIS = 64;

  /** Maximum number of pairs of server and reason in the log line of a refused statement. */
  private static final int MAX_LOGGED_REASONS = 12;

  /**
   * Minimum time left to send a statement. A statement sent later would be likely to end with an
   * unknown outcome.
   */
  private static final long MIN_EXECUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Bounds the retries on a server that loses a prepared statement each time it is prepared. */
  private static final int MAX_PREPARE_RETRIES = 2;

  private final SessionContext context;
  private final StatementTask task;
  private final ServerRequirement requirement;
  private final GroupRouting routing;
  private final long startNanos;
  private final CompletableFuture<Result> result = new CompletableFuture<>();
  // Guarded by this.
  private final Set<ServerId> triedServers = new HashSet<>();
  private final Map<String, Integer> failureCounts = new LinkedHashMap<>();
  private int attempts;
  private int activeAttempts;
  private int searchRounds;
  private boolean hedged;
  private int prepareRetries;
  private Optional<SessionReply> failureReply = Optional.empty();

  StatementRun(SessionContext context, StatementTask task, ServerRequirement requirement) {
    this.context = context;
    this.task = task;
    this.requirement = requirement;
    this.routing = context.routings().of(task.database().group());
    this.startNanos = context.clock().nowNanos();
  }

  /**
   * Outcome of a statement run.
   *
   * @param reply the reply for the caller
   * @param pinned the connection that holds the transaction, if the transaction stays open
   */
  record Result(SessionReply reply, Optional<PinnedConnection> pinned) {}

  /** Starts the run; the returned future never completes exceptionally. */
  CompletableFuture<Result> run() {
    tryNextServer();
    return result;
  }

  void tryNextServer() {
    if (result.isDone()) {
      return;
    }
    long now = context.clock().nowNanos();
    Optional<ServerState> selected;
    synchronized (this) {
      boolean deadlineNear = task.deadlineNanos() - now < MIN_EXECUTION_NANOS;
      selected = deadlineNear ? Optional.empty() : selectServer(now);
      if (selected.isPresent()) {
        triedServers.add(selected.get().id());
        activeAttempts++;
        attempts++;
      } else if (activeAttempts > 0) {
        // Another attempt is in flight; it calls this method again unless it completes the run.
        return;
      }
    }
    if (selected.isPresent()) {
      new StatementAttempt(this, selected.get()).start(now);
      return;
    }
    ServerSearchPolicy searchPolicy = searchPolicy(now);
    if (searchPolicy.isSearchOver(now - startNanos, timeoutNanos(), objectiveNanos())) {
      refuse(now, searchPolicy);
      return;
    }
    waitAndRetry();
  }

  /** Retries when a server may have become available, or after a backoff. */
  private void waitAndRetry() {
    long backoffMillis;
    synchronized (this) {
      backoffMillis =
          Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(searchRounds, 3));
      searchRounds++;
      triedServers.clear();
    }
    WaitingStatements waitingStatements = routing.waitingStatements();
    WaitingStatements.QueuedStatement queued =
        waitingStatements.add(
            requirement.needsPrimary() ? WaitingStatements.Need.LEAD : WaitingStatements.Need.READ,
            task.database().priority(),
            task.deadlineNanos(),
            () -> context.workers().execute(this::tryNextServer));
    context
        .workers()
        .schedule(
            Duration.ofMillis(backoffMillis),
            () -> {
              if (waitingStatements.remove(queued)) {
                tryNextServer();
              }
            });
  }

  private Optional<ServerState> selectServer(long now) {
    return requirement.needsPrimary() ? selectPrimary(now) : selectForRead(now);
  }

  private Optional<ServerState> selectForRead(long now) {
    Optional<ServerId> primary = presumedPrimary();
    return routing
        .readCandidates(
            context.servers(task.database().group()),
            primary,
            requirement.floor().orElseThrow(),
            now)
        .stream()
        .filter(server -> mayTry(server, primary.filter(server.id()::equals).isPresent(), now))
        .findFirst();
  }

  private Optional<ServerState> selectPrimary(long now) {
    Optional<GroupState> group = context.group(task.database().group());
    if (group.isEmpty()) {
      return Optional.empty();
    }
    List<ServerState> servers = context.servers(task.database().group());
    Optional<ServerState> primary = routing.availablePrimary(servers, group.get(), now);
    if (primary.isEmpty()) {
      context.routings().startPrimarySearch(group.get());
    }
    return primary.filter(server -> mayTry(server, true, now));
  }

  private boolean mayTry(ServerState server, boolean isPrimary, long now) {
    return !triedServers.contains(server.id())
        && !routing.knownToRefuse(server, requirement.floor(), isPrimary, now);
  }

  private Optional<ServerId> presumedPrimary() {
    return context.group(task.database().group()).flatMap(routing::presumedPrimary);
  }

  private ServerSearchPolicy searchPolicy(long now) {
    LeasedView leased = context.leasedViews().read();
    return new ServerSearchPolicy(
        requirement.needsPrimary(),
        leased.leaseValid(),
        leased
            .view()
            .group(task.database().group())
            .map(group -> routing.primaryUnresponsiveNanos(group, now))
            .orElse(OptionalLong.empty()),
        context.routings().blockedPromotions().contains(task.database().group(), now));
  }

  private void refuse(long now, ServerSearchPolicy searchPolicy) {
    String reasons;
    synchronized (this) {
      reasons =
          failureCounts.entrySet().stream()
              .map(entry -> entry.getKey() + "*" + entry.getValue())
              .collect(Collectors.joining(","));
    }
    log.warn(
        "event=statement-refused id={} database={} group={} kind={} needs-lead={} floor={}"
            + " sample-age-millis={} view={} view-confirmed={} primary-lost-millis={}"
            + " waited-millis={} retry-after-millis={} tried=\"{}\" outcome=NOT_RUN",
        task.loggedId(),
        task.database().name(),
        task.database().group(),
        task.kind(),
        requirement.needsPrimary(),
        requirement.floor().map(floor -> floor.position().toString()).orElse("lead"),
        routing.newestSampleAgeNanos(now).map(TimeUnit.NANOSECONDS::toMillis).orElse(-1L),
        context.views().current().version(),
        searchPolicy.viewConfirmed(),
        TimeUnit.NANOSECONDS.toMillis(searchPolicy.primaryUnresponsiveNanos().orElse(0)),
        TimeUnit.NANOSECONDS.toMillis(now - startNanos),
        searchPolicy.retryAfterMillis(),
        reasons);
    TransactionState state =
        requirement.keepOpen() ? TransactionState.FAILED : TransactionState.NONE;
    complete(
        failureReply.orElseGet(
            () -> SessionReply.refused(RefusalCode.BUSY, searchPolicy.message(), state)),
        Optional.empty());
  }

  boolean complete(SessionReply reply, Optional<PinnedConnection> pinned) {
    boolean first = result.complete(new Result(reply, pinned));
    if (first) {
      context.metrics().recordTriedServers(attemptCount());
      if (reply.succeeded()) {
        context.startLog().reached(StartStage.STATEMENT);
      }
    }
    return first;
  }

  /** Returns whether a limit of this host or of the server prevented a connection. */
  static boolean isConnectionLimit(Throwable failure) {
    ErrorCode code =
        failure instanceof AlderyardException typed ? typed.code() : ErrorCode.INTERNAL;
    return code == ErrorCode.OVERLOADED || code == ErrorCode.NO_ELIGIBLE_SERVER;
  }

  Duration remainingTime(long capMillis) {
    long nanos = task.deadlineNanos() - context.clock().nowNanos();
    long capped = Math.min(nanos, TimeUnit.MILLISECONDS.toNanos(capMillis));
    return Duration.ofNanos(Math.max(1, capped));
  }

  /**
   * Records why a server did not run the statement, for the log. Each pair of server and reason is
   * stored once, which bounds the map.
   */
  synchronized void recordFailure(ServerState server, Object reason) {
    String serverAndReason = server.id() + ":" + reason;
    if (failureCounts.containsKey(serverAndReason) || failureCounts.size() < MAX_LOGGED_REASONS) {
      failureCounts.merge(serverAndReason, 1, Integer::sum);
    }
  }

  Duration timeUntilDeadline() {
    return remainingTime(Long.MAX_VALUE / 2_000_000);
  }

  /** Returns how much of the server search time is left, at least 1 ns. */
  Duration remainingSearchTime(long now) {
    long nanos =
        searchPolicy(now).searchNanos(timeoutNanos(), objectiveNanos()) - (now - startNanos);
    return Duration.ofNanos(Math.max(1, nanos));
  }

  private long timeoutNanos() {
    return task.deadlineNanos() - startNanos;
  }

  private long objectiveNanos() {
    return TimeUnit.MILLISECONDS.toNanos(task.database().latencyObjectiveMillis());
  }

  boolean isDone() {
    return result.isDone();
  }

  /** Runs a task when the run completes. */
  void whenDone(Runnable task) {
    result.thenRun(task);
  }

  synchronized void attemptEnded() {
    activeAttempts--;
  }

  /**
   * Reserves the hedged attempt; returns false if it is already reserved or the run is complete.
   */
  synchronized boolean reserveHedge() {
    boolean reserved = !result.isDone() && !hedged;
    hedged |= reserved;
    return reserved;
  }

  /** Returns whether to retry on a server that lost the prepared statement. */
  synchronized boolean allowPrepareRetry(ServerState server) {
    prepareRetries++;
    if (prepareRetries > MAX_PREPARE_RETRIES) {
      return false;
    }
    triedServers.remove(server.id());
    return true;
  }

  /**
   * Stores the reply of a failed read, which becomes the result if no other server succeeds.
   * Returns whether it is the first such reply.
   */
  synchronized boolean storeFailure(SessionReply reply) {
    boolean first = failureReply.isEmpty();
    failureReply = first ? Optional.of(reply) : failureReply;
    return first;
  }

  /** Returns the number of attempts, including those that did not get a connection. */
  synchronized int attemptCount() {
    return attempts;
  }

  SessionContext context() {
    return context;
  }

  StatementTask task() {
    return task;
  }

  ServerRequirement requirement() {
    return requirement;
  }

  GroupRouting routing() {
    return routing;
  }
}
