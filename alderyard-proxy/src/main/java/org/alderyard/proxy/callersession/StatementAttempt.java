package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
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
import org.alderyard.common.view.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One sending of a statement to one server: takes a connection, puts the session's values on it,
 * opens a transaction where that is asked for, sends, and judges the answer.
 */
final class StatementAttempt {

  private static final Logger log = LoggerFactory.getLogger(StatementAttempt.class);

  /** A server that does not answer a begin, which takes no slot, in this time is out of reach. */
  private static final long SETUP_MILLIS = 400;

  /** A read without an answer is sent to a second server after this many usual times. */
  private static final double SECOND_SENDING_LATENCIES = 6;

  /** And not before this, so that a load that makes all servers slow is not doubled. */
  private static final long MIN_SECOND_SENDING_MILLIS = 120;

  private final StatementRun run;
  private final ServerState server;
  private final SessionParts parts;
  private final StatementTask task;
  private final ServerDemand demand;
  private final GroupRouting routing;
  private long sentNanos;

  StatementAttempt(StatementRun run, ServerState server) {
    this.run = run;
    this.server = server;
    this.parts = run.parts();
    this.task = run.task();
    this.demand = run.demand();
    this.routing = run.routing();
  }

  void start(long now) {
    routing.started(server, now);
    parts
        .pools()
        .take(server, task.database().priority(), run.searchLeft(now))
        .whenComplete(
            (session, failure) -> {
              parts.metrics().gotConnection(parts.clock().nowNanos() - now);
              if (failure != null) {
                noConnection(Futures.unwrap(failure));
              } else if (run.isDone()) {
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
    } else if (!StatementRun.ownLimit(failure)) {
      routing.failed(server, parts.clock().nowNanos());
    }
    run.note(server, Futures.typed(failure).code());
    again();
  }

  private void end() {
    routing.ended(server);
    run.attemptEnded();
  }

  /** Looks for another server: nothing that could be kept has run here. */
  private void again() {
    end();
    run.next();
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
        .run(setup, run.remaining(SETUP_MILLIS))
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
    run.note(server, "lost-before-sending");
    parts.discard(server, session);
    again();
  }

  private void prepared(PooledSession session, long asked, List<SessionReply> replies) {
    long now = parts.clock().nowNanos();
    SessionReply last = replies.get(replies.size() - 1);
    int own = demand.begin().isPresent() ? replies.size() - 1 : replies.size();
    if (replies.subList(0, own).stream().anyMatch(reply -> !reply.succeeded())) {
      run.note(server, "values-refused");
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

  /** Takes in why a server refused. */
  private void learn(SessionReply refused) {
    RefusalCode code = refused.refusal().orElseThrow().code();
    parts.metrics().refusedByServer(code);
    run.note(server, code);
    long now = parts.clock().nowNanos();
    if (code == RefusalCode.NOT_PRIMARY) {
      parts.group(task.database().group()).ifPresent(group -> routing.doesNotLead(server, group));
    } else if (code == RefusalCode.BEHIND) {
      demand.floor().ifPresent(floor -> routing.lacked(server, floor, now));
    } else if (code == RefusalCode.BUSY) {
      routing.busy(server, now);
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
        .run(List.of(request), run.untilDeadline())
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
              if (!run.maySendTwice()) {
                return;
              }
              parts.metrics().sentTwice();
              run.note(server, "slow");
              run.next();
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
    run.note(server, "lost-after-sending");
    parts.discard(server, session);
    boolean late = task.deadlineNanos() - now <= 0;
    if (repeatable() && !demand.keep() && late) {
      end();
      run.finish(
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
      run.finish(
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
    routing.answered(server, now, now - sentNanos, !notRun(reply), reply.position());
    parts.metrics().ranAtServer(now - sentNanos);
    if (reply.succeeded()) {
      logRoutine(now);
      succeeded(session, reply);
      return;
    }
    RefusalCode code = reply.refusal().orElseThrow().code();
    learn(reply);
    boolean forgotten = code == RefusalCode.NOT_PREPARED && task.prepared().isPresent();
    if (forgotten && run.mayPrepareAgain(server)) {
      session.forget(task.prepared().get());
      putBack(session, reply);
      again();
      return;
    }
    boolean elsewhere = code == RefusalCode.FAILED && repeatable() && !demand.keep();
    putBack(session, reply);
    if (notRun(reply) && !(task.ending() && code == RefusalCode.NOT_PRIMARY)) {
      again();
    } else if (elsewhere && run.keepFailure(reply.inState(TransactionState.NONE))) {
      again();
    } else {
      end();
      logFailed(code, now);
      run.finish(reply.inState(stateAfterRefusal()), Optional.empty());
    }
  }

  /** A server ran a statement and says that it failed, or refused what nobody else can run. */
  private void logFailed(RefusalCode code, long now) {
    log.info(
        "event=statement-failed-at-server id={} database={} server={} incarnation={} kind={}"
            + " code={} at-server-millis={} attempts={}",
        task.request().id().orElse("-"),
        task.database().name(),
        server.id(),
        server.incarnation(),
        task.kind(),
        code,
        TimeUnit.NANOSECONDS.toMillis(now - sentNanos),
        run.triedCount());
  }

  /** Returns whether the server refused before it gave the statement a slot. */
  static boolean notRun(SessionReply reply) {
    return reply.refusedWith(RefusalCode.BUSY)
        || reply.refusedWith(RefusalCode.NOT_PRIMARY)
        || reply.refusedWith(RefusalCode.BEHIND);
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
        run.triedCount());
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
      PinnedConnection pinned = new PinnedConnection(parts, server, session);
      if (!run.finish(reply.inState(TransactionState.OPEN), Optional.of(pinned))) {
        parts.rollBackAndRelease(server, session);
      }
      return;
    }
    run.finish(reply.inState(TransactionState.NONE), Optional.empty());
    if (demand.begin().isPresent() && reply.state() != TransactionState.NONE) {
      parts.rollBackAndRelease(server, session);
    } else {
      parts.release(server, session);
    }
  }
}
