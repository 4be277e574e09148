package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.generated.statement.EndHeldTransactionRequest;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;
import org.alderyard.proxy.limit.RetryBudget;

/** Passes statements on to the holders of their group. */
final class HolderForwarding implements Forwarding {
  /** A holder answers at the deadline by itself; its answer has this long to arrive. */
  private static final long ANSWER_MILLIS = 50;

  private final SessionParts parts;
  private final Holders holders;
  private final HolderCalls calls;
  private final HostState self;
  private final AtomicLong transactions = new AtomicLong();
  private final RetryBudget resends =
      new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_SAVED);

  /**
   * Creates forwarding that has not begun a transaction.
   *
   * @param holders who holds, and how they have answered
   * @param calls the way to them
   * @param self this host
   */
  HolderForwarding(SessionParts parts, Holders holders, HolderCalls calls, HostState self) {
    this.parts = parts;
    this.holders = holders;
    this.calls = calls;
    this.self = self;
  }

  SessionParts parts() {
    return parts;
  }

  Holders holders() {
    return holders;
  }

  HolderCalls calls() {
    return calls;
  }

  /** Returns what bounds the statements that are sent to a second holder. */
  RetryBudget resends() {
    return resends;
  }

  @Override
  public CompletableFuture<Optional<SessionReply>> single(
      StatementTask task, Optional<GroupRouting.Floor> written) {
    return holdersOf(task)
        .map(
            candidates ->
                new ForwardedStatement(this, task, candidates, written, Optional.empty())
                    .run()
                    .thenApply(result -> result.map(Started::reply)))
        .orElseGet(() -> Forwarding.NONE.single(task, written));
  }

  @Override
  public CompletableFuture<Optional<Started>> first(
      StatementTask task, boolean readOnly, Optional<GroupRouting.Floor> written) {
    return holdersOf(task)
        .map(
            candidates ->
                new ForwardedStatement(this, task, candidates, written, Optional.of(readOnly))
                    .run())
        .orElseGet(() -> Forwarding.NONE.first(task, readOnly, written));
  }

  private Optional<List<HostState>> holdersOf(StatementTask task) {
    return holders.others(parts.views().current(), task.database().group());
  }

  /** Returns how long the answer of a holder is waited for. */
  static Duration timeout(StatementTask task, long sentNanos) {
    long leftNanos = Math.max(0, task.deadlineNanos() - sentNanos);
    return Duration.ofNanos(leftNanos).plusMillis(ANSWER_MILLIS);
  }

  /** Returns a number for a transaction that this host begins at a holder. */
  long nextTransaction() {
    return transactions.incrementAndGet();
  }

  /** Returns the message of a statement of this host. */
  HeldStatementRequest.Builder message(
      StatementTask task, Optional<GroupRouting.Floor> written, long nowNanos) {
    return HeldStatementCodec.requestMessage(task, written, nowNanos)
        .setHost(self.id().value())
        .setIncarnation(self.incarnation());
  }

  /** Ends a transaction at a holder without keeping anything. */
  void end(HostState holder, long transaction) {
    calls.end(
        holder,
        EndHeldTransactionRequest.newBuilder()
            .setHost(self.id().value())
            .setIncarnation(self.incarnation())
            .setTransaction(transaction)
            .build());
  }
}
