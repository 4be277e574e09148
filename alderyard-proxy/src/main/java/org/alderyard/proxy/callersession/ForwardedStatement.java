package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.common.start.StartStage;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.proxy.admission.AdmissionDecision;
import org.alderyard.proxy.admission.DeadlineAdmission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A statement outside a transaction, or the first statement of a transaction, that is forwarded to
 * a holder.
 *
 * <p>The statement is sent to another holder only while it has no permanent effect: if the first
 * holder is known not to have run it, or, for reads and for transactions, which have no permanent
 * effect before their commit, if the first holder did not reply. Otherwise the outcome of a write
 * that was sent is unknown.
 *
 * <p>Locking: guarded by the object's own lock, which is acquired before the locks of {@link
 * HolderSelector} and of the resend budget. Holders are called after the lock is released.
 */
final class ForwardedStatement {
  private static final Logger log = LoggerFactory.getLogger(ForwardedStatement.class);

  /**
   * Multiple of a holder's usual latency without a reply after which the holder counts as
   * unresponsive and another holder is tried.
   */
  private static final double UNRESPONSIVE_LATENCY_FACTOR = 6;

  /**
   * Minimum time without a reply after which a holder counts as unresponsive. Prevents resends from
   * doubling a load that makes all hosts slow.
   */
  private static final long MIN_UNRESPONSIVE_MILLIS = 200;

  /**
   * Maximum number of holders that a statement is sent to before it is refused; the caller then
   * retries on another host.
   */
  private static final int MAX_HOLDERS = 2;

  /** Time after which holders that are at their limit have replied to some statements. */
  private static final long RETRY_MILLIS = 200;

  private final HolderForwarder forwarder;
  private final SessionContext context;
  private final HolderSelector selector;
  private final StatementTask task;
  private final List<HostState> candidates;
  private final Optional<GroupRouting.Floor> lastWrite;
  private final Optional<Boolean> readOnlyTransaction;
  private final CompletableFuture<Optional<StatementForwarder.ForwardedReply>> result =
      new CompletableFuture<>();
  // Guarded by this.
  private final Set<HostId> triedHolders = new HashSet<>();
  private int inFlight;
  private boolean resent;
  private Optional<StatementForwarder.ForwardedReply> refusedReply = Optional.empty();

  /**
   * Creates a statement that has not been sent.
   *
   * @param readOnlyTransaction whether the transaction that the statement begins is read-only;
   *     empty for a statement outside a transaction
   */
  ForwardedStatement(
      HolderForwarder forwarder,
      StatementTask task,
      List<HostState> candidates,
      Optional<GroupRouting.Floor> lastWrite,
      Optional<Boolean> readOnlyTransaction) {
    this.forwarder = forwarder;
    this.context = forwarder.context();
    this.selector = forwarder.selector();
    this.task = task;
    this.candidates = candidates;
    this.lastWrite = lastWrite;
    this.readOnlyTransaction = readOnlyTransaction;
  }

  /**
   * Sends the statement. The future never fails; it is empty if the statement did not run on any
   * holder.
   */
  CompletableFuture<Optional<StatementForwarder.ForwardedReply>> run() {
    forwarder.resendBudget().recordFirstAttempt();
    sendToNextHolder();
    return result;
  }

  private void sendToNextHolder() {
    long now = context.clock().nowNanos();
    Optional<HostState> holder;
    synchronized (this) {
      boolean exhausted =
          task.deadlineNanos() - now <= minSendNanos() || triedHolders.size() >= MAX_HOLDERS;
      holder =
          exhausted
              ? Optional.empty()
              : selector.selectBest(
                  task.database().group(), task.owner(), candidates, triedHolders, now);
      if (holder.isPresent()) {
        triedHolders.add(holder.get().id());
        inFlight++;
      } else if (inFlight > 0) {
        // A request to another holder is in flight, and its completion decides the result.
        return;
      }
    }
    if (holder.isPresent()) {
      send(holder.get(), now);
    } else if (refusedReply().isPresent() || selector.allUnresponsive(candidates, now)) {
      result.complete(refusedReply());
    } else {
      refuse(
          RefusalCode.BUSY,
          "no holder of the group can accept the statement now; retry after "
              + retryAfterMillis(now)
              + " ms");
    }
  }

  /** Returns the time left from which on a holder could not run the statement any more. */
  private long minSendNanos() {
    return context.admission().usesDeadlines() ? DeadlineAdmission.MIN_EXECUTION_NANOS : 0;
  }

  private long retryAfterMillis(long nowNanos) {
    if (!context.admission().usesDeadlines()) {
      return RETRY_MILLIS;
    }
    AdmissionDecision.Reject reject =
        new AdmissionDecision.Reject(
            AdmissionDecision.Reason.OVERLOAD,
            TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS / 2),
            TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS),
            0);
    return context
        .routings()
        .of(task.database().group())
        .admission()
        .retryDelayMillis(reject, nowNanos);
  }

  private synchronized Optional<StatementForwarder.ForwardedReply> refusedReply() {
    return refusedReply;
  }

  private void send(HostState holder, long sentNanos) {
    long transaction = readOnlyTransaction.isPresent() ? forwarder.nextTransactionNumber() : 0;
    selector.started(holder);
    scheduleReplyCheck(holder, sentNanos);
    forwarder
        .client()
        .run(
            holder,
            forwarder
                .message(task, lastWrite, sentNanos)
                .setTransaction(transaction)
                .setFirst(readOnlyTransaction.isPresent())
                .setReadOnly(readOnlyTransaction.orElse(false))
                .build(),
            HolderForwarder.replyTimeout(task, sentNanos))
        .whenComplete(
            (reply, failure) -> {
              selector.ended(holder);
              synchronized (this) {
                inFlight--;
              }
              if (failure == null) {
                handleReply(holder, transaction, reply, sentNanos);
              } else {
                handleFailure(holder, transaction, Futures.toAlderyardException(failure));
              }
            });
  }

  /**
   * Returns whether two holders may run the statement: reads and transactions have no permanent
   * effect before a commit.
   */
  private boolean isRepeatable() {
    return task.kind() == StatementKind.READ || readOnlyTransaction.isPresent();
  }

  /**
   * Checks for a reply after a delay. The link to a suspended or partitioned holder does not break,
   * so that it reports no failure.
   */
  private void scheduleReplyCheck(HostState holder, long sentNanos) {
    long delayMillis =
        Math.max(
            MIN_UNRESPONSIVE_MILLIS,
            (long) (selector.latencyMillis(holder) * UNRESPONSIVE_LATENCY_FACTOR));
    var timer =
        context
            .workers()
            .schedule(
                Duration.ofMillis(delayMillis),
                () -> {
                  if (!result.isDone()) {
                    handleMissingReply(holder, sentNanos);
                  }
                });
    result.whenComplete((reply, failure) -> timer.cancel(false));
  }

  private void handleMissingReply(HostState holder, long sentNanos) {
    long now = context.clock().nowNanos();
    if (!selector.answeredSince(holder, sentNanos, now)) {
      selector.failed(holder, now);
    }
    if (tryAcquireResend()) {
      sendToNextHolder();
    }
  }

  /**
   * Returns whether the statement may be sent to a second holder. A budget limits such resends, so
   * that they do not double the load of a slow fleet.
   */
  private synchronized boolean tryAcquireResend() {
    if (!isRepeatable() || resent || !forwarder.resendBudget().tryResend()) {
      return false;
    }
    resent = true;
    context.metrics().countReadResend();
    return true;
  }

  private void handleReply(
      HostState holder, long transaction, HeldStatementReply message, long sentNanos) {
    long now = context.clock().nowNanos();
    selector.answered(holder, now, now - sentNanos);
    SessionReply reply = HeldStatementCodec.reply(message);
    boolean transactionOpen = transaction != 0 && reply.state() == TransactionState.OPEN;
    Optional<TransactionLocation> location =
        transactionOpen
            ? Optional.of(new HeldElsewhere(forwarder, holder, transaction))
            : Optional.empty();
    context.metrics().countForwarded("answered");
    if (reply.succeeded()) {
      context.startLog().reached(StartStage.STATEMENT);
    }
    StatementForwarder.ForwardedReply forwarded =
        new StatementForwarder.ForwardedReply(reply, location);
    synchronized (this) {
      if (inFlight > 0 && !reply.succeeded()) {
        // The request to the other holder is still in flight and may succeed.
        refusedReply = Optional.of(forwarded);
        return;
      }
    }
    if (!result.complete(Optional.of(forwarded))) {
      location.ifPresent(TransactionLocation::rollBack);
    }
  }

  private void handleFailure(HostState holder, long transaction, AlderyardException failure) {
    long now = context.clock().nowNanos();
    selector.failed(holder, now);
    boolean notRun = failure.outcome() == Outcome.NOT_RUN;
    if (!notRun && transaction != 0) {
      forwarder.rollBack(holder, transaction);
    }
    context.metrics().countForwarded("lost");
    if (notRun || task.deadlineNanos() - now > 0 && tryAcquireResend()) {
      sendToNextHolder();
    } else {
      completeWithoutReply(holder, failure);
    }
  }

  private void completeWithoutReply(HostState holder, AlderyardException failure) {
    synchronized (this) {
      if (inFlight > 0) {
        return;
      }
    }
    Optional<StatementForwarder.ForwardedReply> earlier = refusedReply();
    if (earlier.isPresent()) {
      result.complete(earlier);
      return;
    }
    RefusalCode code = codeWithoutReply();
    log.info(
        "event=statement-not-forwarded id={} database={} holder={} kind={} transaction={} reason={}"
            + " outcome={}",
        task.loggedId(),
        task.database().name(),
        holder.id(),
        task.kind(),
        readOnlyTransaction.isPresent(),
        failure.code(),
        code);
    refuse(code, "the host that holds the connection did not reply");
  }

  /** Returns the refusal code of a statement whose holder did not reply. */
  private RefusalCode codeWithoutReply() {
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
            new StatementForwarder.ForwardedReply(
                SessionReply.refused(code, text, state), Optional.empty())));
  }
}
