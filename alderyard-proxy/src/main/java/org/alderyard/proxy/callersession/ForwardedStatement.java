package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A statement that stands alone, or the first one of a transaction, on its way over holders.
 *
 * <p>It goes on to another holder only while nothing ran that could be kept: after a holder that
 * surely did not run it, and, for reads and for transactions, which keep nothing before their
 * commit, after one that gives no answer. Everything else after the sending of a write is in doubt.
 *
 * <p>Lock: the object itself, before {@link Holders} and the budget of resends; holders are called
 * after it is released.
 */
final class ForwardedStatement {
  private static final Logger log = LoggerFactory.getLogger(ForwardedStatement.class);

  /** A holder that takes this many usual times is silent, and another one is asked. */
  private static final double SILENT_LATENCIES = 6;

  /** And not before this, so that a load that makes all hosts slow is not doubled. */
  private static final long MIN_SILENT_MILLIS = 200;

  /** A statement that two holders could not take is refused, and its caller asks another host. */
  private static final int MAX_HOLDERS = 2;

  private final HolderForwarding forwarding;
  private final SessionParts parts;
  private final Holders holders;
  private final StatementTask task;
  private final List<HostState> candidates;
  private final Optional<GroupRouting.Floor> written;
  private final Optional<Boolean> readOnlyTransaction;
  private final CompletableFuture<Optional<Forwarding.Started>> result = new CompletableFuture<>();
  // Guarded by this.
  private final Set<HostId> tried = new HashSet<>();
  private int active;
  private boolean sentTwice;
  private Optional<Forwarding.Started> refused = Optional.empty();

  /**
   * Creates a statement that was not sent yet.
   *
   * @param readOnlyTransaction whether the transaction that it begins only reads; empty if it
   *     stands alone
   */
  ForwardedStatement(
      HolderForwarding forwarding,
      StatementTask task,
      List<HostState> candidates,
      Optional<GroupRouting.Floor> written,
      Optional<Boolean> readOnlyTransaction) {
    this.forwarding = forwarding;
    this.parts = forwarding.parts();
    this.holders = forwarding.holders();
    this.task = task;
    this.candidates = candidates;
    this.written = written;
    this.readOnlyTransaction = readOnlyTransaction;
  }

  /** Sends it; the future never fails, and is empty if the statement ran nowhere. */
  CompletableFuture<Optional<Forwarding.Started>> run() {
    forwarding.resends().firstTry();
    next();
    return result;
  }

  private void next() {
    long now = parts.clock().nowNanos();
    Optional<HostState> holder;
    synchronized (this) {
      boolean over = task.deadlineNanos() - now <= 0 || tried.size() >= MAX_HOLDERS;
      holder = over ? Optional.empty() : holders.best(candidates, tried, now);
      if (holder.isPresent()) {
        tried.add(holder.get().id());
        active++;
      } else if (active > 0) {
        // Another sending is still under way, and its end comes back here.
        return;
      }
    }
    if (holder.isPresent()) {
      send(holder.get(), now);
    } else if (refused().isPresent() || holders.silent(candidates, now)) {
      result.complete(refused());
    } else {
      refuse(
          RefusalCode.BUSY, "no host that holds connections can take it now; retry after 200 ms");
    }
  }

  private synchronized Optional<Forwarding.Started> refused() {
    return refused;
  }

  private void send(HostState holder, long sentNanos) {
    long transaction = readOnlyTransaction.isPresent() ? forwarding.nextTransaction() : 0;
    holders.started(holder);
    watchSilence(holder, sentNanos);
    forwarding
        .calls()
        .run(
            holder,
            forwarding
                .message(task, written, sentNanos)
                .setTransaction(transaction)
                .setFirst(readOnlyTransaction.isPresent())
                .setReadOnly(readOnlyTransaction.orElse(false))
                .build(),
            HolderForwarding.timeout(task, sentNanos))
        .whenComplete(
            (reply, failure) -> {
              holders.ended(holder);
              synchronized (this) {
                active--;
              }
              if (failure == null) {
                answered(holder, transaction, reply, sentNanos);
              } else {
                lost(holder, transaction, Futures.typed(failure));
              }
            });
  }

  /** Reads and transactions keep nothing before a commit, so a second one may run elsewhere. */
  private boolean repeatable() {
    return task.kind() == StatementKind.READ || readOnlyTransaction.isPresent();
  }

  /** Guards against a holder that stands still or was cut off: its links do not break. */
  private void watchSilence(HostState holder, long sentNanos) {
    long millis =
        Math.max(MIN_SILENT_MILLIS, (long) (holders.latencyMillis(holder) * SILENT_LATENCIES));
    parts
        .workers()
        .schedule(
            Duration.ofMillis(millis),
            () -> {
              if (!result.isDone()) {
                silent(holder, sentNanos);
              }
            });
  }

  private void silent(HostState holder, long sentNanos) {
    long now = parts.clock().nowNanos();
    if (!holders.answeredSince(holder, sentNanos, now)) {
      holders.failed(holder, now);
    }
    if (maySendAgain()) {
      next();
    }
  }

  /**
   * Returns whether a second holder may work on it; counted, so that a slow fleet is not doubled.
   */
  private synchronized boolean maySendAgain() {
    if (!repeatable() || sentTwice || !forwarding.resends().tryResend()) {
      return false;
    }
    sentTwice = true;
    parts.metrics().sentTwice();
    return true;
  }

  private void answered(
      HostState holder, long transaction, HeldStatementReply message, long sentNanos) {
    long now = parts.clock().nowNanos();
    holders.answered(holder, now, now - sentNanos);
    SessionReply reply = HeldStatementCodec.reply(message);
    boolean open = transaction != 0 && reply.state() == TransactionState.OPEN;
    Optional<TransactionPlace> place =
        open ? Optional.of(new HeldElsewhere(forwarding, holder, transaction)) : Optional.empty();
    parts.metrics().forwarded("answered");
    Forwarding.Started started = new Forwarding.Started(reply, place);
    synchronized (this) {
      if (active > 0 && !reply.succeeded()) {
        // The other holder may do better.
        refused = Optional.of(started);
        return;
      }
    }
    if (!result.complete(Optional.of(started))) {
      place.ifPresent(TransactionPlace::rollBack);
    }
  }

  private void lost(HostState holder, long transaction, AlderyardException failure) {
    long now = parts.clock().nowNanos();
    holders.failed(holder, now);
    boolean notRun = failure.outcome() == Outcome.NOT_RUN;
    if (!notRun && transaction != 0) {
      forwarding.end(holder, transaction);
    }
    parts.metrics().forwarded("lost");
    if (notRun || task.deadlineNanos() - now > 0 && maySendAgain()) {
      next();
    } else {
      finishLost(holder, failure);
    }
  }

  private void finishLost(HostState holder, AlderyardException failure) {
    synchronized (this) {
      if (active > 0) {
        return;
      }
    }
    Optional<Forwarding.Started> known = refused();
    if (known.isPresent()) {
      result.complete(known);
      return;
    }
    RefusalCode code = codeOfLost();
    log.info(
        "event=statement-not-forwarded id={} database={} holder={} kind={} transaction={} reason={}"
            + " outcome={}",
        task.request().id().orElse("-"),
        task.database().name(),
        holder.id(),
        task.kind(),
        readOnlyTransaction.isPresent(),
        failure.code(),
        code);
    refuse(code, "the host that holds the connection gave no answer");
  }

  /** Returns what may be said of a statement whose holder gave no answer. */
  private RefusalCode codeOfLost() {
    if (readOnlyTransaction.isPresent()) {
      return RefusalCode.ABORTED;
    }
    return task.kind() == StatementKind.READ ? RefusalCode.TIMED_OUT : RefusalCode.IN_DOUBT;
  }

  private void refuse(RefusalCode code, String text) {
    TransactionState state =
        readOnlyTransaction.isPresent() ? TransactionState.FAILED : TransactionState.NONE;
    result.complete(
        Optional.of(
            new Forwarding.Started(SessionReply.refused(code, text, state), Optional.empty())));
  }
}
