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
 * Carries out the decisions about one group, one at a time.
 *
 * <p>All fields are guarded by the run itself; answers of servers and of the log come back through
 * the worker pool.
 */
final class GroupRun {
  private static final Logger log = LoggerFactory.getLogger(GroupRun.class);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
  private static final Duration POSITION_TIMEOUT = Duration.ofMillis(50);
  private static final long RETRY_MILLIS = 50;
  private static final long FOLLOW_RETRY_MILLIS = 1_000;
  private static final long POLL_MILLIS = 5;

  private final GroupId group;
  private final RunContext context;
  private final Map<ServerId, Long> toldIncarnations = new HashMap<>();
  private Attempt attempt;
  private Optional<DirectorDecision> lastLogged = Optional.empty();
  private long effect;
  private boolean busy;
  private volatile boolean settled;
  private long dueMillis;

  GroupRun(GroupId group, RunContext context, long term) {
    this.group = group;
    this.context = context;
    this.attempt = Attempt.begin(term, context.clock().nowMillis());
  }

  /** Returns whether the group has a published primary. */
  boolean steady() {
    return context.record(group).filter(record -> record.phase() != FailoverPhase.STEADY).isEmpty();
  }

  /** Returns whether nothing is left to do in the term that was seen last. */
  boolean settled() {
    return settled;
  }

  /** Takes the next step if one is due. */
  synchronized void advance() {
    Optional<FailoverRecord> known = context.record(group);
    if (known.isEmpty()) {
      return;
    }
    FailoverRecord record = known.get();
    long nowMillis = context.clock().nowMillis();
    if (attempt.term() != record.term()) {
      attempt = Attempt.begin(record.term(), nowMillis);
      toldIncarnations.clear();
      busy = false;
      settled = false;
      dueMillis = nowMillis;
    }
    View view = context.view();
    noticeRestarts(view);
    if (busy || settled || nowMillis < dueMillis) {
      return;
    }
    DirectorDecision decision =
        context.director().decide(record, attempt, eligible(record, view), nowMillis);
    logOnce(record, decision);
    perform(record, view, decision, nowMillis);
  }

  /** A server that started again follows no one until it is told. */
  private void noticeRestarts(View view) {
    for (ServerId server : List.copyOf(toldIncarnations.keySet())) {
      long now = view.server(server).map(ServerState::incarnation).orElse(0L);
      if (now != toldIncarnations.get(server)) {
        toldIncarnations.remove(server);
        attempt = attempt.withoutFollowing(server);
        settled = false;
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

  private void logOnce(FailoverRecord record, DirectorDecision decision) {
    if (lastLogged.filter(decision::equals).isPresent()) {
      return;
    }
    lastLogged = Optional.of(decision);
    log.info(
        "event=failover group={} term={} phase={} kind={} decision={} reason=\"{}\"",
        group,
        record.term(),
        record.phase(),
        record.kind(),
        decision.getClass().getSimpleName(),
        decision.reason());
  }

  private void perform(
      FailoverRecord record, View view, DirectorDecision decision, long nowMillis) {
    if (decision instanceof DirectorDecision.AskPositions ask) {
      askPositions(record, ask.servers(), view);
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
      dueMillis = nowMillis + refusal.retryAfterMillis();
      attempt = attempt.restarted(dueMillis);
    } else {
      settled = true;
    }
  }

  private void askPositions(FailoverRecord record, List<ServerId> servers, View view) {
    long mine = begin();
    List<CompletableFuture<?>> asked = new ArrayList<>();
    for (ServerId server : servers) {
      asked.add(
          address(view, server)
              .thenCompose(state -> context.admin().state(state.address(), POSITION_TIMEOUT))
              .thenAcceptAsync(
                  report -> {
                    learn(record.term(), a -> a.withHeld(server, report.held()));
                    endIfDrained(record, view, mine);
                  },
                  context::later));
    }
    CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
        .whenComplete((done, failure) -> context.later(() -> ended(mine, POLL_MILLIS)));
  }

  private void endIfDrained(FailoverRecord record, View view, long mine) {
    boolean drained;
    synchronized (this) {
      long nowMillis = context.clock().nowMillis();
      drained =
          !(context.director().decide(record, attempt, eligible(record, view), nowMillis)
              instanceof DirectorDecision.AskPositions);
    }
    if (drained) {
      ended(mine, 0);
    }
  }

  private void fence(FailoverRecord record, List<ServerId> servers, View view) {
    long mine = begin();
    long term = record.term();
    List<CompletableFuture<?>> asked = new ArrayList<>();
    for (ServerId server : servers) {
      asked.add(
          address(view, server)
              .thenCompose(state -> context.admin().fence(state.address(), term, CALL_TIMEOUT))
              .thenAcceptAsync(report -> onFenced(record, mine, server, report), context::later)
              .exceptionallyCompose(failure -> askTermOfRefusal(record, view, server, failure)));
    }
    CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
        .whenComplete((done, failure) -> context.later(() -> ended(mine, RETRY_MILLIS)));
  }

  /** Goes on as soon as a majority is fenced: a dead server must not cost its time-out. */
  private void onFenced(FailoverRecord record, long mine, ServerId server, ServerReport report) {
    learn(record.term(), a -> a.withFenced(server, report.term(), report.held()));
    boolean enough;
    synchronized (this) {
      enough = effect == mine && attempt.fenced().size() >= record.majority();
    }
    if (enough) {
      context.reached(group, record.term(), Milestone.FENCED);
      ended(mine, 0);
    }
  }

  private void propose(FailoverStep step) {
    long mine = begin();
    context
        .steps()
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
                context.reached(group, step.term(), milestone(step));
              }
              context.later(() -> ended(mine, failure == null ? 0 : RETRY_MILLIS));
            });
  }

  private static Milestone milestone(FailoverStep step) {
    if (step instanceof FailoverStep.Grant) {
      return Milestone.GRANTED;
    }
    return step instanceof FailoverStep.Choose ? Milestone.CHOSEN : Milestone.PUBLISHED;
  }

  private void promote(FailoverRecord record, ServerId server, View view) {
    long mine = begin();
    address(view, server)
        .thenCompose(state -> context.admin().promote(state.address(), record.term(), CALL_TIMEOUT))
        .thenAccept(
            report -> {
              if (report.role() == ServerRole.PRIMARY && report.term() == record.term()) {
                learn(record.term(), Attempt::withPromoted);
                context.reached(group, record.term(), Milestone.PROMOTED);
              }
            })
        .exceptionallyCompose(failure -> askTermOfRefusal(record, view, server, failure))
        .whenComplete(
            (done, failure) ->
                context.later(() -> ended(mine, failure == null ? 0 : RETRY_MILLIS)));
  }

  private void follow(FailoverRecord record, DirectorDecision.Follow follow, View view) {
    long mine = begin();
    List<CompletableFuture<?>> asked = new ArrayList<>();
    for (ServerId server : follow.servers()) {
      asked.add(
          address(view, follow.primary())
              .thenCombine(
                  address(view, server),
                  (primary, state) -> followOne(record.term(), primary, state))
              .thenCompose(told -> told)
              .exceptionallyCompose(failure -> askTermOfRefusal(record, view, server, failure)));
    }
    CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
        .whenComplete((done, failure) -> context.later(() -> ended(mine, followPause(record))));
  }

  /** No write is acknowledged before a majority follows, so until then no time is wasted. */
  private synchronized long followPause(FailoverRecord record) {
    boolean majorityFollows = attempt.following().size() + 1 >= record.majority();
    return majorityFollows ? FOLLOW_RETRY_MILLIS : RETRY_MILLIS;
  }

  private CompletableFuture<Void> followOne(long term, ServerState primary, ServerState server) {
    return context
        .admin()
        .follow(server.address(), term, primary.address(), CALL_TIMEOUT)
        .thenAccept(
            report -> {
              synchronized (this) {
                if (attempt.term() == term) {
                  attempt = attempt.withFollowing(server.id());
                  toldIncarnations.put(server.id(), server.incarnation());
                }
              }
            });
  }

  private void regrant(
      FailoverRecord record, DirectorDecision.Regrant regrant, View view, long nowMillis) {
    long waitMillis =
        context.backoff().waitMillis(record.grantedAtMillis(), context.steps().wallMillis());
    if (waitMillis > 0) {
      dueMillis = nowMillis + waitMillis;
      return;
    }
    propose(
        new FailoverStep.Grant(
            record.term(),
            regrant.term(),
            FailoverKind.FAILURE,
            FailoverTable.members(group, view),
            context.steps().wallMillis()));
  }

  /** A server that refuses our term has seen a higher one: asks which, for the next grant. */
  private CompletableFuture<Void> askTermOfRefusal(
      FailoverRecord record, View view, ServerId server, Throwable failure) {
    boolean refused =
        Futures.unwrap(failure) instanceof BackendException refusal
            && refusal.refusal() == BackendException.Refusal.TERM_MISMATCH;
    if (!refused) {
      return CompletableFuture.failedFuture(failure);
    }
    return address(view, server)
        .thenCompose(state -> context.admin().state(state.address(), CALL_TIMEOUT))
        .thenAccept(report -> learn(record.term(), a -> a.withHigherTerm(report.term())));
  }

  private static CompletableFuture<ServerState> address(View view, ServerId server) {
    return view.server(server)
        .map(CompletableFuture::completedFuture)
        .orElseGet(
            () ->
                CompletableFuture.failedFuture(
                    AlderyardException.notRun(
                        ErrorCode.NOT_FOUND, "server " + server + " is not registered")));
  }

  /** Takes in an answer; one of a request of another term says nothing about this one. */
  private synchronized void learn(long term, UnaryOperator<Attempt> lesson) {
    if (attempt.term() == term) {
      attempt = lesson.apply(attempt);
    }
  }

  private synchronized long begin() {
    busy = true;
    effect++;
    return effect;
  }

  /** Ends an effect once; what arrives for an earlier one changes nothing but the evidence. */
  private void ended(long which, long pauseMillis) {
    synchronized (this) {
      if (!busy || which != effect) {
        return;
      }
      busy = false;
      dueMillis = context.clock().nowMillis() + pauseMillis;
    }
    advance();
  }
}
