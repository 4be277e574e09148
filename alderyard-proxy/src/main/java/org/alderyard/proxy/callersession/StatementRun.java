package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.start.StartStage;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.proxy.admission.AdmissionDecision;
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

  /** First delay between two server searches: about the time in which a slot becomes free. */
  private static final long INITIAL_BACKOFF_MILLIS = 8;

  private static final long MAX_BACKOFF_MILLIS = 64;

  /** Longest delay until the next decision about a statement that is expected to wait. */
  private static final long MAX_EXPECTED_BACKOFF_MILLIS = 250;

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
  private final StatementAdmission admission;
  private final CompletableFuture<Result> result = new CompletableFuture<>();
  // Guarded by this.
  private final Set<ServerId> triedServers = new HashSet<>();
  private final AttemptFailures failures = new AttemptFailures();
  private int attempts;
  private int activeAttempts;
  private int searchRounds;
  private boolean hedged;
  private int prepareRetries;

  StatementRun(SessionContext context, StatementTask task, ServerRequirement requirement) {
    this.context = context;
    this.task = task;
    this.requirement = requirement;
    this.routing = context.routings().of(task.database().group());
    this.admission = new StatementAdmission(context, task, requirement.floor());
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
    context.admission().recordFirstAttempt();
    tryNextServer();
    return result;
  }

  void tryNextServer() {
    tryNextServer(false);
  }

  /**
   * Tries the next server.
   *
   * @param itsTurn whether the statement has just left the queue for a free slot
   */
  private void tryNextServer(boolean itsTurn) {
    if (result.isDone()) {
      return;
    }
    long now = context.clock().nowNanos();
    AdmissionDecision decision;
    synchronized (this) {
      decision = activeAttempts == 0 ? admission.decide(now, itsTurn) : AdmissionDecision.RUN;
    }
    if (decision instanceof AdmissionDecision.Reject reject) {
      refuse(admission.refusalText(reject, now));
      return;
    }
    if (decision instanceof AdmissionDecision.Wait wait) {
      waitAndRetry(TimeUnit.NANOSECONDS.toMillis(wait.expectedNanos()));
      return;
    }
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
    ServerSearchPolicy searchPolicy = admission.searchPolicy(now);
    if (searchPolicy.isSearchOver(now - startNanos, timeoutNanos(), objectiveNanos())) {
      if (context.admission().usesDeadlines()) {
        refuse(admission.refusalText(admission.searchEnded(searchPolicy), now));
      } else {
        refuse(now, searchPolicy);
      }
      return;
    }
    waitAndRetry(0);
  }

  /**
   * Retries when a server may have become available, or after a backoff.
   *
   * @param expectedMillis how long the statement is expected to wait; 0 if unknown
   */
  private void waitAndRetry(long expectedMillis) {
    long backoffMillis;
    synchronized (this) {
      backoffMillis =
          Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(searchRounds, 3));
      backoffMillis =
          Math.max(backoffMillis, Math.min(MAX_EXPECTED_BACKOFF_MILLIS, expectedMillis / 2));
      searchRounds++;
      triedServers.clear();
    }
    WaitingStatements waitingStatements = routing.waitingStatements();
    WaitingStatements.QueuedStatement queued =
        waitingStatements.add(
            WaitingStatements.Need.of(admission.request()),
            admission.request(),
            () -> context.workers().execute(() -> tryNextServer(true)));
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

  private void refuse(long now, ServerSearchPolicy searchPolicy) {
    String reasons;
    synchronized (this) {
      reasons = failures.reasons();
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
    refuse(searchPolicy.message());
  }

  private void refuse(String message) {
    TransactionState state =
        requirement.keepOpen() ? TransactionState.FAILED : TransactionState.NONE;
    SessionReply reply;
    synchronized (this) {
      reply = failures.refusal(message, state, context.admission().usesDeadlines());
    }
    complete(reply, Optional.empty());
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

  /** Records why a server did not run the statement, for the log. */
  synchronized void recordFailure(ServerState server, Object reason) {
    failures.record(server, reason);
  }

  Duration timeUntilDeadline() {
    return remainingTime(Long.MAX_VALUE / 2_000_000);
  }

  /** Returns how much of the server search time is left, at least 1 ns. */
  Duration remainingSearchTime(long now) {
    if (context.admission().usesDeadlines()) {
      return Duration.ofNanos(admission.connectionWaitNanos(now));
    }
    long nanos =
        admission.searchPolicy(now).searchNanos(timeoutNanos(), objectiveNanos())
            - (now - startNanos);
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

  /** Records that a server may have run the statement without a reply. */
  synchronized void recordLostReply() {
    failures.recordLostReply();
  }

  /**
   * Ends an attempt whose read is not to be sent again while another attempt is in flight, which
   * then decides the result. Returns false if there is no other attempt.
   */
  synchronized boolean tryEndBesideOther() {
    if (!context.admission().usesDeadlines() || activeAttempts < 2) {
      return false;
    }
    activeAttempts--;
    return true;
  }

  synchronized void attemptEnded() {
    activeAttempts--;
  }

  /**
   * Reserves the hedged attempt; returns false if it is already reserved or the run is complete.
   */
  synchronized boolean reserveHedge() {
    boolean reserved = !result.isDone() && !hedged && context.admission().tryResend();
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
    return failures.storeReply(reply);
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
