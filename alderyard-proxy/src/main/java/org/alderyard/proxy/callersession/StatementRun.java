package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.ConnectRefusedException;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
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

  /** What is spent of a statement's time on looking for a server; the rest is for its run. */
  private static final double SEARCH_SHARE = 0.5;

  /** Long enough for a slot to become free, short against the smallest objective, 100 ms. */
  private static final long FIRST_PAUSE_MILLIS = 8;

  private static final long MAX_PAUSE_MILLIS = 64;

  /** A server that does not answer a begin, which takes no slot, in this time is out of reach. */
  private static final long SETUP_MILLIS = 400;

  /** A read without an answer is sent to a second server after this many usual times. */
  private static final double SECOND_SENDING_LATENCIES = 6;

  /** And not before this, so that a load that makes all servers slow is not doubled. */
  private static final long MIN_SECOND_SENDING_MILLIS = 120;

  private static final int MAX_REPREPARED = 2;

  private final SessionParts parts;
  private final StatementTask task;
  private final ServerDemand demand;
  private final GroupRouting routing;
  private final long startNanos;
  private final CompletableFuture<Result> result = new CompletableFuture<>();
  // Guarded by this.
  private final Set<ServerId> tried = new HashSet<>();
  private final List<String> story = new ArrayList<>();
  private int active;
  private int round;
  private boolean sentTwice;
  private boolean roundOver;
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
  record Result(SessionReply reply, Optional<Pinned> pinned) {}

  /** A connection with an open transaction. */
  record Pinned(ServerState server, PooledSession session) {}

  /** Starts; the future never fails. */
  CompletableFuture<Result> run() {
    next();
    return result;
  }

  private void next() {
    if (result.isDone()) {
      return;
    }
    long now = parts.clock().nowNanos();
    Optional<ServerState> choice;
    synchronized (this) {
      choice = roundOver ? Optional.empty() : choose(now);
      if (choice.isPresent()) {
        tried.add(choice.get().id());
        active++;
      } else if (active > 0) {
        // Another sending is still under way, and its end comes back here.
        return;
      }
    }
    if (choice.isPresent()) {
      new Attempt(choice.get()).start(now);
      return;
    }
    if (now - startNanos >= (task.deadlineNanos() - startNanos) * SEARCH_SHARE) {
      giveUp(now);
      return;
    }
    long pauseMillis;
    synchronized (this) {
      pauseMillis = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(round, 3));
      round++;
      tried.clear();
      roundOver = false;
    }
    parts.workers().schedule(Duration.ofMillis(pauseMillis), this::next);
  }

  private Optional<ServerState> choose(long now) {
    List<ServerState> servers = parts.servers(task.database().group());
    if (!demand.needsLead()) {
      return routing.readOrder(servers, primary(), demand.floor().orElseThrow(), now).stream()
          .filter(server -> !tried.contains(server.id()))
          .findFirst();
    }
    Optional<GroupState> group = parts.group(task.database().group());
    if (group.isEmpty()) {
      return Optional.empty();
    }
    return routing.primaryOrder(servers, group.get(), now).stream()
        .filter(server -> !tried.contains(server.id()) && !routing.paused(server, now))
        .findFirst();
  }

  private Optional<ServerId> primary() {
    return parts.group(task.database().group()).flatMap(routing::believedPrimary);
  }

  private void giveUp(long now) {
    String reason;
    synchronized (this) {
      reason = String.join(",", story);
    }
    log.warn(
        "event=statement-refused id={} database={} group={} kind={} needs-lead={} floor={}"
            + " sample-age-millis={} view={} waited-millis={} tried=\"{}\" outcome=NOT_RUN",
        task.request().id().orElse("-"),
        task.database().name(),
        task.database().group(),
        task.kind(),
        demand.needsLead(),
        demand.floor().map(floor -> floor.position().toString()).orElse("lead"),
        routing.newestSampleAgeNanos(now).map(TimeUnit.NANOSECONDS::toMillis).orElse(-1L),
        parts.views().current().version(),
        TimeUnit.NANOSECONDS.toMillis(now - startNanos),
        reason);
    TransactionState state = demand.keep() ? TransactionState.FAILED : TransactionState.NONE;
    finish(
        failedReply.orElseGet(
            () -> SessionReply.refused(RefusalCode.BUSY, "no server could run it now", state)),
        Optional.empty());
  }

  private boolean finish(SessionReply reply, Optional<Pinned> pinned) {
    return result.complete(new Result(reply, pinned));
  }

  /** Returns whether this host's own limits, or those of the server, refused a connection. */
  static boolean ownLimit(Throwable failure) {
    ErrorCode code =
        failure instanceof AlderyardException typed ? typed.code() : ErrorCode.INTERNAL;
    return code == ErrorCode.OVERLOADED || code == ErrorCode.NO_ELIGIBLE_SERVER;
  }

  private Duration remaining(long capMillis) {
    long nanos = task.deadlineNanos() - parts.clock().nowNanos();
    long capped = Math.min(nanos, TimeUnit.MILLISECONDS.toNanos(capMillis));
    return Duration.ofNanos(Math.max(1, capped));
  }

  private synchronized void note(ServerState server, Object why) {
    if (story.size() < 12) {
      story.add(server.id() + ":" + why);
    }
  }

  /** One sending to one server. */
  private final class Attempt {
    private final ServerState server;
    private long sentNanos;
    private int reprepared;

    Attempt(ServerState server) {
      this.server = server;
    }

    void start(long now) {
      routing.started(server);
      long searchNanos =
          (long) ((task.deadlineNanos() - startNanos) * SEARCH_SHARE) - (now - startNanos);
      Duration wait = Duration.ofNanos(Math.max(1, searchNanos));
      parts
          .pools()
          .take(server, task.database().priority(), wait)
          .whenComplete(
              (session, failure) -> {
                parts.metrics().gotConnection(parts.clock().nowNanos() - now);
                if (failure != null) {
                  noConnection(Futures.unwrap(failure));
                } else if (result.isDone()) {
                  parts.release(server, session);
                  end();
                } else {
                  prepare(session);
                }
              });
    }

    private void noConnection(Throwable failure) {
      boolean refused = failure instanceof ConnectRefusedException;
      if (refused && ((ConnectRefusedException) failure).refusal() == RefusalCode.WRONG_SERVER) {
        routing.replaced(server);
      } else if (!ownLimit(failure)) {
        routing.failed(server, parts.clock().nowNanos());
      }
      note(server, Futures.typed(failure).code());
      again();
    }

    private void end() {
      routing.ended(server);
      synchronized (StatementRun.this) {
        active--;
      }
    }

    /** Looks for another server: nothing that could be kept has run here. */
    private void again() {
      end();
      next();
    }

    private void prepare(PooledSession session) {
      List<SessionRequest> setup = session.adopt(task.values(), task.prepared(), true);
      demand
          .begin()
          .ifPresent(
              readOnly -> {
                SessionRequest begin = SessionRequest.own(new Begin(readOnly));
                setup.add(demand.floor().map(f -> begin.after(f.position())).orElse(begin));
              });
      if (setup.isEmpty()) {
        send(session);
        return;
      }
      long asked = parts.clock().nowNanos();
      session
          .run(setup, remaining(SETUP_MILLIS))
          .whenComplete(
              (replies, failure) -> {
                if (failure != null) {
                  lostBefore(session);
                } else {
                  prepared(session, asked, replies);
                }
              });
    }

    private void lostBefore(PooledSession session) {
      routing.failed(server, parts.clock().nowNanos());
      note(server, "lost-before-sending");
      parts.discard(server, session);
      again();
    }

    private void prepared(PooledSession session, long asked, List<SessionReply> replies) {
      long now = parts.clock().nowNanos();
      SessionReply last = replies.get(replies.size() - 1);
      int own = demand.begin().isPresent() ? replies.size() - 1 : replies.size();
      if (replies.subList(0, own).stream().anyMatch(reply -> !reply.succeeded())) {
        note(server, "values-refused");
        parts.discard(server, session);
        again();
        return;
      }
      routing.answered(server, now, now - asked, false, last.position());
      if (demand.begin().isPresent() && !last.succeeded()) {
        refusedBegin(session, last);
        return;
      }
      if (demand.needsLead() && demand.begin().isPresent()) {
        routing.leads(server);
        last.position().ifPresent(position -> routing.sampled(asked, position));
      }
      send(session);
    }

    private void refusedBegin(PooledSession session, SessionReply refusal) {
      learn(refusal);
      if (refusal.state() == TransactionState.NONE) {
        parts.release(server, session);
      } else {
        parts.rollBackAndRelease(server, session);
      }
      again();
    }

    /** Takes in why a server refused; a busy primary is not made good by asking the others. */
    private void learn(SessionReply refused) {
      parts.metrics().refusedByServer();
      RefusalCode code = refused.refusal().orElseThrow().code();
      note(server, code);
      if (code == RefusalCode.NOT_PRIMARY) {
        parts.group(task.database().group()).ifPresent(group -> routing.doesNotLead(server, group));
      } else if (code == RefusalCode.BEHIND) {
        long now = parts.clock().nowNanos();
        demand.floor().ifPresent(floor -> routing.lacked(server, now - floor.sinceNanos()));
      } else if (code == RefusalCode.BUSY && demand.needsLead()) {
        synchronized (StatementRun.this) {
          roundOver = true;
        }
      }
    }

    private void send(PooledSession session) {
      sentNanos = parts.clock().nowNanos();
      SessionRequest request =
          demand.begin().isEmpty()
              ? demand.floor().map(f -> task.request().after(f.position())).orElse(task.request())
              : task.request();
      if (repeatable() && !demand.keep()) {
        planSecondSending();
      }
      session
          .run(List.of(request), remaining(Long.MAX_VALUE / 2_000_000))
          .whenComplete(
              (replies, failure) -> {
                if (failure != null) {
                  lost(session, Futures.typed(failure));
                } else {
                  answered(session, replies.get(0));
                }
              });
    }

    /** The statements of a transaction run on one connection, so a lost one ends it. */
    private boolean repeatable() {
      return task.kind() == StatementKind.READ && !task.ending();
    }

    /** Guards against an answer that is lost, or a connection that went silent, under a read. */
    private void planSecondSending() {
      long millis =
          Math.max(
              MIN_SECOND_SENDING_MILLIS,
              (long) (routing.latencyMillis(server) * SECOND_SENDING_LATENCIES));
      parts
          .workers()
          .schedule(
              Duration.ofMillis(millis),
              () -> {
                synchronized (StatementRun.this) {
                  if (result.isDone() || sentTwice) {
                    return;
                  }
                  sentTwice = true;
                }
                parts.metrics().sentTwice();
                note(server, "slow");
                next();
              });
    }

    private void lost(PooledSession session, AlderyardException failure) {
      long now = parts.clock().nowNanos();
      if (failure.code() == ErrorCode.DEADLINE_EXCEEDED && !demand.needsLead()) {
        routing.failed(server, now);
      } else {
        routing.doubted(server, now);
      }
      parts.metrics().lostAnswer();
      note(server, "lost-after-sending");
      parts.discard(server, session);
      boolean late = task.deadlineNanos() - now <= 0;
      if (repeatable() && !demand.keep() && late) {
        end();
        finish(
            SessionReply.refused(RefusalCode.TIMED_OUT, "no answer in time", stateAfterRefusal()),
            Optional.empty());
      } else if (repeatable() && !demand.keep()) {
        again();
      } else {
        end();
        boolean nothingKept = demand.keep();
        log.warn(
            "event=statement-lost id={} database={} server={} incarnation={} kind={}"
                + " after-millis={} reason={} outcome={}",
            task.request().id().orElse("-"),
            task.database().name(),
            server.id(),
            server.incarnation(),
            task.kind(),
            TimeUnit.NANOSECONDS.toMillis(now - sentNanos),
            failure.code(),
            nothingKept ? "NOT_KEPT" : "OUTCOME_UNKNOWN");
        finish(
            SessionReply.refused(
                nothingKept ? RefusalCode.ABORTED : RefusalCode.IN_DOUBT,
                "the connection to the server was lost",
                stateAfterRefusal()),
            Optional.empty());
      }
    }

    private TransactionState stateAfterRefusal() {
      return demand.keep() && !task.ending() ? TransactionState.FAILED : TransactionState.NONE;
    }

    private void answered(PooledSession session, SessionReply reply) {
      long now = parts.clock().nowNanos();
      routing.answered(server, now, now - sentNanos, true, reply.position());
      parts.metrics().ranAtServer(now - sentNanos);
      if (reply.succeeded()) {
        logRoutine(now);
        succeeded(session, reply);
        return;
      }
      RefusalCode code = reply.refusal().orElseThrow().code();
      learn(reply);
      if (code == RefusalCode.NOT_PREPARED
          && task.prepared().isPresent()
          && reprepared < MAX_REPREPARED) {
        reprepared++;
        session.forget(task.prepared().get());
        putBack(session, reply);
        synchronized (StatementRun.this) {
          tried.remove(server.id());
        }
        again();
        return;
      }
      boolean nothingRan =
          code == RefusalCode.BUSY || code == RefusalCode.NOT_PRIMARY || code == RefusalCode.BEHIND;
      boolean elsewhere = code == RefusalCode.FAILED && repeatable() && !demand.keep();
      putBack(session, reply);
      if (nothingRan && !(task.ending() && code == RefusalCode.NOT_PRIMARY)) {
        again();
      } else if (elsewhere && failedReply.isEmpty()) {
        failedReply = Optional.of(reply.inState(TransactionState.NONE));
        again();
      } else {
        end();
        finish(reply.inState(stateAfterRefusal()), Optional.empty());
      }
    }

    private void logRoutine(long now) {
      if (!parts.routineLog().due()) {
        return;
      }
      log.info(
          "event=statement-ran id={} database={} server={} incarnation={} kind={} floor={}"
              + " floor-age-millis={} view={} at-server-millis={} attempts={} outcome=DONE",
          task.request().id().orElse("-"),
          task.database().name(),
          server.id(),
          server.incarnation(),
          task.kind(),
          demand.floor().map(floor -> floor.position().toString()).orElse("lead"),
          demand
              .floor()
              .map(floor -> TimeUnit.NANOSECONDS.toMillis(now - floor.sinceNanos()))
              .orElse(0L),
          parts.views().current().version(),
          TimeUnit.NANOSECONDS.toMillis(now - sentNanos),
          tried.size());
    }

    private void putBack(PooledSession session, SessionReply reply) {
      if (demand.begin().isPresent() || reply.state() != TransactionState.NONE) {
        parts.rollBackAndRelease(server, session);
      } else {
        parts.release(server, session);
      }
    }

    private void succeeded(PooledSession session, SessionReply reply) {
      if (task.kind() == StatementKind.WRITE && demand.begin().isEmpty()) {
        routing.leads(server);
        reply.position().ifPresent(position -> routing.sampled(sentNanos, position));
      }
      end();
      if (demand.keep() && !task.ending()) {
        Pinned pinned = new Pinned(server, session);
        if (!finish(reply.inState(TransactionState.OPEN), Optional.of(pinned))) {
          parts.rollBackAndRelease(server, session);
        }
        return;
      }
      finish(reply.inState(TransactionState.NONE), Optional.empty());
      if (demand.begin().isPresent() && reply.state() != TransactionState.NONE) {
        parts.rollBackAndRelease(server, session);
      } else {
        parts.release(server, session);
      }
    }
  }
}
