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
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks for a server that runs one statement.
 *
 * <p>It goes on to another server only while nothing ran that could be kept: after a refusal of the
 * server, after a connection that broke before the statement was sent, and for statements whose
 * second run changes nothing. Everything else after the sending of a write is in doubt.
 *
 * <p>Lock: the object itself, a leaf; servers are called after it is released.
 */
final class StatementRun {
  private static final Logger log = LoggerFactory.getLogger(StatementRun.class);

  /** Long enough for a slot to become free, short against the smallest objective, 100 ms. */
  private static final long FIRST_PAUSE_MILLIS = 8;

  private static final long MAX_PAUSE_MILLIS = 64;

  /** The most pairs of a server and a reason that the log line of a refusal has. */
  private static final int MAX_CAUSES = 12;

  /** A statement that can only begin in its last moments would be sent and be in doubt. */
  private static final long MIN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** A server that forgets a statement each time it is prepared is not asked for ever. */
  private static final int MAX_PREPARED_AGAIN = 2;

  private final SessionParts parts;
  private final StatementTask task;
  private final ServerDemand demand;
  private final GroupRouting routing;
  private final long startNanos;
  private final CompletableFuture<Result> result = new CompletableFuture<>();
  // Guarded by this.
  private final Set<ServerId> tried = new HashSet<>();
  private final Map<String, Integer> story = new LinkedHashMap<>();
  private int attempts;
  private int active;
  private int round;
  private boolean sentTwice;
  private int preparedAgain;
  private Optional<SessionReply> failedReply = Optional.empty();

  StatementRun(SessionParts parts, StatementTask task, ServerDemand demand) {
    this.parts = parts;
    this.task = task;
    this.demand = demand;
    this.routing = parts.routings().of(task.database().group());
    this.startNanos = parts.clock().nowNanos();
  }

  /**
   * How it ended.
   *
   * @param reply the answer for the caller
   * @param pinned the connection that holds the transaction, where it stays open
   */
  record Result(SessionReply reply, Optional<PinnedConnection> pinned) {}

  /** Starts; the future never fails. */
  CompletableFuture<Result> run() {
    next();
    return result;
  }

  void next() {
    if (result.isDone()) {
      return;
    }
    long now = parts.clock().nowNanos();
    Optional<ServerState> choice;
    synchronized (this) {
      boolean tooLate = task.deadlineNanos() - now < MIN_RUN_NANOS;
      choice = tooLate ? Optional.empty() : choose(now);
      if (choice.isPresent()) {
        tried.add(choice.get().id());
        active++;
        attempts++;
      } else if (active > 0) {
        // Another sending is still under way, and its end comes back here.
        return;
      }
    }
    if (choice.isPresent()) {
      new StatementAttempt(this, choice.get()).start(now);
      return;
    }
    Outlook outlook = outlook(now);
    if (outlook.searchOver(now - startNanos, timeNanos(), objectiveNanos())) {
      giveUp(now, outlook);
      return;
    }
    waitForNews();
  }

  /** Looks again when something has changed, or after a pause. */
  private void waitForNews() {
    long pauseMillis;
    synchronized (this) {
      pauseMillis = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(round, 3));
      round++;
      tried.clear();
    }
    WaitingStatements waiting = routing.waiting();
    WaitingStatements.Waiter waiter =
        waiting.add(
            demand.needsLead() ? WaitingStatements.Need.LEAD : WaitingStatements.Need.READ,
            task.database().priority(),
            task.deadlineNanos(),
            () -> parts.workers().execute(this::next));
    parts
        .workers()
        .schedule(
            Duration.ofMillis(pauseMillis),
            () -> {
              if (waiting.remove(waiter)) {
                next();
              }
            });
  }

  private Optional<ServerState> choose(long now) {
    return demand.needsLead() ? chooseLead(now) : chooseForRead(now);
  }

  private Optional<ServerState> chooseForRead(long now) {
    Optional<ServerId> primary = primary();
    return routing
        .readOrder(
            parts.servers(task.database().group()), primary, demand.floor().orElseThrow(), now)
        .stream()
        .filter(server -> mayAsk(server, primary.filter(server.id()::equals).isPresent(), now))
        .findFirst();
  }

  private Optional<ServerState> chooseLead(long now) {
    Optional<GroupState> group = parts.group(task.database().group());
    if (group.isEmpty()) {
      return Optional.empty();
    }
    List<ServerState> servers = parts.servers(task.database().group());
    Optional<ServerState> lead = routing.leadToAsk(servers, group.get(), now);
    if (lead.isEmpty()) {
      parts.routings().searchLead(group.get());
    }
    return lead.filter(server -> mayAsk(server, true, now));
  }

  private boolean mayAsk(ServerState server, boolean leads, long now) {
    return !tried.contains(server.id())
        && !routing.knownToRefuse(server, demand.floor(), leads, now);
  }

  private Optional<ServerId> primary() {
    return parts.group(task.database().group()).flatMap(routing::believedPrimary);
  }

  private Outlook outlook(long now) {
    return new Outlook(
        demand.needsLead(),
        parts.viewConfirmed().getAsBoolean(),
        parts
            .group(task.database().group())
            .map(group -> routing.primaryLostNanos(group, now))
            .orElse(OptionalLong.empty()));
  }

  private void giveUp(long now, Outlook outlook) {
    String reason;
    synchronized (this) {
      reason =
          story.entrySet().stream()
              .map(entry -> entry.getKey() + "*" + entry.getValue())
              .collect(Collectors.joining(","));
    }
    log.warn(
        "event=statement-refused id={} database={} group={} kind={} needs-lead={} floor={}"
            + " sample-age-millis={} view={} view-confirmed={} primary-lost-millis={}"
            + " waited-millis={} retry-after-millis={} tried=\"{}\" outcome=NOT_RUN",
        task.request().id().orElse("-"),
        task.database().name(),
        task.database().group(),
        task.kind(),
        demand.needsLead(),
        demand.floor().map(floor -> floor.position().toString()).orElse("lead"),
        routing.newestSampleAgeNanos(now).map(TimeUnit.NANOSECONDS::toMillis).orElse(-1L),
        parts.views().current().version(),
        outlook.viewConfirmed(),
        TimeUnit.NANOSECONDS.toMillis(outlook.primaryLostNanos().orElse(0)),
        TimeUnit.NANOSECONDS.toMillis(now - startNanos),
        outlook.retryAfterMillis(),
        reason);
    TransactionState state = demand.keep() ? TransactionState.FAILED : TransactionState.NONE;
    finish(
        failedReply.orElseGet(() -> SessionReply.refused(RefusalCode.BUSY, outlook.text(), state)),
        Optional.empty());
  }

  boolean finish(SessionReply reply, Optional<PinnedConnection> pinned) {
    boolean first = result.complete(new Result(reply, pinned));
    if (first) {
      parts.metrics().ended(triedCount());
    }
    return first;
  }

  /** Returns whether this host's own limits, or those of the server, refused a connection. */
  static boolean ownLimit(Throwable failure) {
    ErrorCode code =
        failure instanceof AlderyardException typed ? typed.code() : ErrorCode.INTERNAL;
    return code == ErrorCode.OVERLOADED || code == ErrorCode.NO_ELIGIBLE_SERVER;
  }

  Duration remaining(long capMillis) {
    long nanos = task.deadlineNanos() - parts.clock().nowNanos();
    long capped = Math.min(nanos, TimeUnit.MILLISECONDS.toNanos(capMillis));
    return Duration.ofNanos(Math.max(1, capped));
  }

  /** Keeps why a server was of no use, for the log; bounded, as each pair is kept once. */
  synchronized void note(ServerState server, Object why) {
    String cause = server.id() + ":" + why;
    if (story.containsKey(cause) || story.size() < MAX_CAUSES) {
      story.merge(cause, 1, Integer::sum);
    }
  }

  Duration untilDeadline() {
    return remaining(Long.MAX_VALUE / 2_000_000);
  }

  /** Returns how much of the time for the search is left. */
  Duration searchLeft(long now) {
    long nanos = outlook(now).searchNanos(timeNanos(), objectiveNanos()) - (now - startNanos);
    return Duration.ofNanos(Math.max(1, nanos));
  }

  private long timeNanos() {
    return task.deadlineNanos() - startNanos;
  }

  private long objectiveNanos() {
    return TimeUnit.MILLISECONDS.toNanos(task.database().latencyObjectiveMillis());
  }

  boolean isDone() {
    return result.isDone();
  }

  synchronized void attemptEnded() {
    active--;
  }

  /** Returns whether a second sending may begin; it may only once. */
  synchronized boolean maySendTwice() {
    boolean may = !result.isDone() && !sentTwice;
    sentTwice |= may;
    return may;
  }

  /** Returns whether a server that forgot the prepared statement is asked once more. */
  synchronized boolean mayPrepareAgain(ServerState server) {
    preparedAgain++;
    if (preparedAgain > MAX_PREPARED_AGAIN) {
      return false;
    }
    tried.remove(server.id());
    return true;
  }

  /** Keeps the answer of a read that failed, for when no other server does better. */
  synchronized boolean keepFailure(SessionReply reply) {
    boolean first = failedReply.isEmpty();
    failedReply = first ? Optional.of(reply) : failedReply;
    return first;
  }

  /** Returns how often it was sent to a server, or tried to be. */
  synchronized int triedCount() {
    return attempts;
  }

  SessionParts parts() {
    return parts;
  }

  StatementTask task() {
    return task;
  }

  ServerDemand demand() {
    return demand;
  }

  GroupRouting routing() {
    return routing;
  }
}
