package org.alderyard.control.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.control.failover.FailoverObserver.Milestone;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the {@link Director}'s decisions about one group, one operation at a time.
 *
 * <p>All fields are guarded by this object's monitor; responses of servers and of the control log
 * are processed in the worker pool.
 */
final class GroupRun {
  private static final Logger log = LoggerFactory.getLogger(GroupRun.class);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
  private static final Duration POSITION_TIMEOUT = Duration.ofMillis(50);
  private static final long RETRY_DELAY_MILLIS = 50;
  private static final long FOLLOW_RETRY_DELAY_MILLIS = 1_000;
  private static final long POSITION_POLL_MILLIS = 5;

  private final GroupId group;
  private final FailoverContext context;
  private final Map<ServerId, Long> followerIncarnations = new HashMap<>();
  private Attempt attempt;
  private Optional<DirectorDecision> lastLoggedDecision = Optional.empty();
  private long currentOperation;
  private boolean operationRunning;
  private volatile boolean completed;
  private long nextStepMillis;

  GroupRun(GroupId group, FailoverContext context, long term) {
    this.group = group;
    this.context = context;
    this.attempt = Attempt.begin(term, context.clock().nowMillis());
  }

  /** Returns whether no failover of the group is in progress. */
  boolean isSteady() {
    return context.record(group).filter(record -> record.phase() != FailoverPhase.STEADY).isEmpty();
  }

  /** Returns whether no step is left in the last term that {@link #advance()} has read. */
  boolean isCompleted() {
    return completed;
  }

  /** Starts the next operation if none is running and the retry delay has passed. */
  synchronized void advance() {
    Optional<FailoverRecord> stored = context.record(group);
    if (stored.isEmpty()) {
      return;
    }
    FailoverRecord record = stored.get();
    long nowMillis = context.clock().nowMillis();
    if (attempt.term() != record.term()) {
      attempt = Attempt.begin(record.term(), nowMillis);
      followerIncarnations.clear();
      operationRunning = false;
      completed = false;
      nextStepMillis = nowMillis;
    }
    View view = context.view();
    removeRestartedFollowers(view);
    if (operationRunning || completed || nowMillis < nextStepMillis) {
      return;
    }
    DirectorDecision decision =
        context.director().decide(record, attempt, eligible(record, view), nowMillis);
    logIfChanged(record, decision);
    execute(record, view, decision, nowMillis);
  }

  /**
   * Removes restarted servers from the followers, as a restarted server follows no primary until it
   * receives a follow request.
   */
  private void removeRestartedFollowers(View view) {
    for (ServerId server : List.copyOf(followerIncarnations.keySet())) {
      long incarnation = view.server(server).map(ServerState::incarnation).orElse(0L);
      if (incarnation != followerIncarnations.get(server)) {
        followerIncarnations.remove(server);
        attempt = attempt.withoutFollower(server);
        completed = false;
      }
    }
  }

  private static Set<ServerId> eligible(FailoverRecord record, View view) {
    return record.members().stream()
        .flatMap(member -> view.server(member).stream())
        .filter(server -> server.status() == ServerStatus.ACTIVE)
        .map(ServerState::id)
        .collect(Collectors.toSet());
  }

  private void logIfChanged(FailoverRecord record, DirectorDecision decision) {
    if (lastLoggedDecision.filter(decision::equals).isPresent()) {
      return;
    }
    lastLoggedDecision = Optional.of(decision);
    log.info(
        "event=failover group={} term={} phase={} kind={} decision={} reason=\"{}\"",
        group,
        record.term(),
        record.phase(),
        record.kind(),
        decision.getClass().getSimpleName(),
        decision.reason());
  }

  private void execute(
      FailoverRecord record, View view, DirectorDecision decision, long nowMillis) {
    if (decision instanceof DirectorDecision.AskPositions request) {
      requestPositions(record, request.servers(), view);
    } else if (decision instanceof DirectorDecision.Fence fence) {
      fence(record, fence.servers(), view);
    } else if (decision instanceof DirectorDecision.Propose propose) {
      propose(propose.step());
    } else if (decision instanceof DirectorDecision.Promote promote) {
      promote(record, promote.server(), view);
    } else if (decision instanceof DirectorDecision.Follow follow) {
      follow(record, follow, view);
    } else if (decision instanceof DirectorDecision.Regrant regrant) {
      regrant(record, regrant, view, nowMillis);
    } else if (decision instanceof DirectorDecision.RefuseNoQuorum refusal) {
      nextStepMillis = nowMillis + refusal.retryAfterMillis();
      attempt = attempt.withStartTime(nextStepMillis);
    } else {
      completed = true;
    }
  }

  private void requestPositions(FailoverRecord record, List<ServerId> servers, View view) {
    long operation = beginOperation();
    List<CompletableFuture<?>> responses = new ArrayList<>();
    for (ServerId server : servers) {
      responses.add(
          findServer(view, server)
              .thenCompose(state -> context.admin().state(state.address(), POSITION_TIMEOUT))
              .thenAcceptAsync(
                  report -> {
                    updateAttempt(
                        record.term(),
                        current -> current.withUnfencedPosition(server, report.held()));
                    endIfCaughtUp(record, view, operation);
                  },
                  context::execute));
    }
    CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
        .whenComplete(
            (ignored, failure) ->
                context.execute(() -> endOperation(operation, POSITION_POLL_MILLIS)));
  }

  private void endIfCaughtUp(FailoverRecord record, View view, long operation) {
    boolean caughtUp;
    synchronized (this) {
      long nowMillis = context.clock().nowMillis();
      caughtUp =
          !(context.director().decide(record, attempt, eligible(record, view), nowMillis)
              instanceof DirectorDecision.AskPositions);
    }
    if (caughtUp) {
      endOperation(operation, 0);
    }
  }

  private void fence(FailoverRecord record, List<ServerId> servers, View view) {
    long operation = beginOperation();
    long term = record.term();
    List<CompletableFuture<?>> responses = new ArrayList<>();
    for (ServerId server : servers) {
      responses.add(
          findServer(view, server)
              .thenCompose(state -> context.admin().fence(state.address(), term, CALL_TIMEOUT))
              .thenAcceptAsync(
                  report -> onFenced(record, operation, server, report), context::execute)
              .exceptionallyCompose(
                  failure -> requestTermAfterRefusal(record, view, server, failure)));
    }
    CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
        .whenComplete(
            (ignored, failure) ->
                context.execute(() -> endOperation(operation, RETRY_DELAY_MILLIS)));
  }

  /**
   * Ends the operation as soon as a majority is fenced, so that a failed server does not delay it
   * until the timeout.
   */
  private void onFenced(
      FailoverRecord record, long operation, ServerId server, ServerReport report) {
    updateAttempt(
        record.term(), current -> current.withFencedPosition(server, report.term(), report.held()));
    boolean majorityFenced;
    synchronized (this) {
      majorityFenced =
          currentOperation == operation && attempt.fencedPositions().size() >= record.majority();
    }
    if (majorityFenced) {
      context.notifyMilestone(group, record.term(), Milestone.FENCED);
      endOperation(operation, 0);
    }
  }

  private void propose(FailoverStep step) {
    long operation = beginOperation();
    context
        .proposer()
        .propose(group, step)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                log.warn(
                    "event=failover-step-failed group={} term={} reason=\"{}\"",
                    group,
                    step.term(),
                    Futures.unwrap(failure).toString());
              } else if (reply.getAccepted()) {
                context.notifyMilestone(group, step.term(), milestone(step));
              }
              context.execute(
                  () -> endOperation(operation, failure == null ? 0 : RETRY_DELAY_MILLIS));
            });
  }

  private static Milestone milestone(FailoverStep step) {
    if (step instanceof FailoverStep.Grant) {
      return Milestone.GRANTED;
    }
    return step instanceof FailoverStep.Choose ? Milestone.CHOSEN : Milestone.PUBLISHED;
  }

  private void promote(FailoverRecord record, ServerId server, View view) {
    long operation = beginOperation();
    findServer(view, server)
        .thenCompose(state -> context.admin().promote(state.address(), record.term(), CALL_TIMEOUT))
        .thenAccept(
            report -> {
              if (report.role() == ServerRole.PRIMARY && report.term() == record.term()) {
                updateAttempt(record.term(), Attempt::withPromoted);
                context.notifyMilestone(group, record.term(), Milestone.PROMOTED);
              }
            })
        .exceptionallyCompose(failure -> requestTermAfterRefusal(record, view, server, failure))
        .whenComplete(
            (ignored, failure) ->
                context.execute(
                    () -> endOperation(operation, failure == null ? 0 : RETRY_DELAY_MILLIS)));
  }

  private void follow(FailoverRecord record, DirectorDecision.Follow follow, View view) {
    long operation = beginOperation();
    List<CompletableFuture<?>> responses = new ArrayList<>();
    for (ServerId server : follow.servers()) {
      responses.add(
          findServer(view, follow.primary())
              .thenCombine(
                  findServer(view, server),
                  (primary, state) -> requestFollow(record.term(), primary, state))
              .thenCompose(response -> response)
              .exceptionallyCompose(
                  failure -> requestTermAfterRefusal(record, view, server, failure)));
    }
    CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
        .whenComplete(
            (ignored, failure) ->
                context.execute(() -> endOperation(operation, followRetryDelayMillis(record))));
  }

  /**
   * Returns the delay before follow requests are retried; it is short until a majority follows, as
   * no write is acknowledged before.
   */
  private synchronized long followRetryDelayMillis(FailoverRecord record) {
    boolean majorityFollows = attempt.followers().size() + 1 >= record.majority();
    return majorityFollows ? FOLLOW_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS;
  }

  private CompletableFuture<Void> requestFollow(
      long term, ServerState primary, ServerState server) {
    return context
        .admin()
        .follow(server.address(), term, primary.address(), CALL_TIMEOUT)
        .thenAccept(
            report -> {
              synchronized (this) {
                if (attempt.term() == term) {
                  attempt = attempt.withFollower(server.id());
                  followerIncarnations.put(server.id(), server.incarnation());
                }
              }
            });
  }

  private void regrant(
      FailoverRecord record, DirectorDecision.Regrant regrant, View view, long nowMillis) {
    long waitMillis =
        context
            .backoff()
            .waitMillis(record.grantedAtMillis(), context.proposer().wallClockMillis());
    if (waitMillis > 0) {
      nextStepMillis = nowMillis + waitMillis;
      return;
    }
    propose(
        new FailoverStep.Grant(
            record.term(),
            regrant.term(),
            FailoverKind.FAILURE,
            FailoverTable.members(group, view),
            context.proposer().wallClockMillis()));
  }

  /**
   * Requests the term of a server that refused a request because it has seen a higher term; the
   * next grant uses a term above it.
   */
  private CompletableFuture<Void> requestTermAfterRefusal(
      FailoverRecord record, View view, ServerId server, Throwable failure) {
    boolean refused =
        Futures.unwrap(failure) instanceof BackendException refusal
            && refusal.refusal() == BackendException.Refusal.TERM_MISMATCH;
    if (!refused) {
      return CompletableFuture.failedFuture(failure);
    }
    return findServer(view, server)
        .thenCompose(state -> context.admin().state(state.address(), CALL_TIMEOUT))
        .thenAccept(
            report ->
                updateAttempt(record.term(), current -> current.withHigherTerm(report.term())));
  }

  private static CompletableFuture<ServerState> findServer(View view, ServerId server) {
    return view.server(server)
        .map(CompletableFuture::completedFuture)
        .orElseGet(
            () ->
                CompletableFuture.failedFuture(
                    AlderyardException.notRun(
                        ErrorCode.NOT_FOUND, "server " + server + " is not registered")));
  }

  /** Updates the attempt with a response; a response to a request of another term is ignored. */
  private synchronized void updateAttempt(long term, UnaryOperator<Attempt> update) {
    if (attempt.term() == term) {
      attempt = update.apply(attempt);
    }
  }

  private synchronized long beginOperation() {
    operationRunning = true;
    currentOperation++;
    return currentOperation;
  }

  /**
   * Ends an operation and advances the run; has no effect if the operation has already ended. A
   * late response to an ended operation changes only the attempt.
   */
  private void endOperation(long operation, long delayMillis) {
    synchronized (this) {
      if (!operationRunning || operation != currentOperation) {
        return;
      }
      operationRunning = false;
      nextStepMillis = context.clock().nowMillis() + delayMillis;
    }
    advance();
  }
}
