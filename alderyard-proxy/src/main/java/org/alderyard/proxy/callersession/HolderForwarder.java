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

/** Forwards statements to the holders of their group. */
final class HolderForwarder implements StatementForwarder {
  /**
   * Additional time for the reply to arrive; a holder replies at the statement's deadline at the
   * latest.
   */
  private static final long REPLY_MARGIN_MILLIS = 50;

  private final SessionContext context;
  private final HolderSelector selector;
  private final HolderClient client;
  private final HostState self;
  private final AtomicLong lastTransactionNumber = new AtomicLong();
  private final RetryBudget resendBudget =
      new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_MAX_RESENDS);

  /**
   * Creates a forwarder that has not begun a transaction.
   *
   * @param selector selects the holders and records their replies
   * @param client sends statements to holders
   * @param self this host
   */
  HolderForwarder(
      SessionContext context, HolderSelector selector, HolderClient client, HostState self) {
    this.context = context;
    this.selector = selector;
    this.client = client;
    this.self = self;
  }

  SessionContext context() {
    return context;
  }

  HolderSelector selector() {
    return selector;
  }

  HolderClient client() {
    return client;
  }

  /** Returns the budget that limits the statements that are sent to a second holder. */
  RetryBudget resendBudget() {
    return context.admission().usesDeadlines() ? context.admission().retryBudget() : resendBudget;
  }

  @Override
  public CompletableFuture<Optional<SessionReply>> forward(
      StatementTask task, Optional<GroupRouting.Floor> lastWrite) {
    return remoteHolders(task)
        .map(
            candidates ->
                new ForwardedStatement(this, task, candidates, lastWrite, Optional.empty())
                    .run()
                    .thenApply(result -> result.map(ForwardedReply::reply)))
        .orElseGet(() -> StatementForwarder.NONE.forward(task, lastWrite));
  }

  @Override
  public CompletableFuture<Optional<ForwardedReply>> forwardFirst(
      StatementTask task, boolean readOnly, Optional<GroupRouting.Floor> lastWrite) {
    return remoteHolders(task)
        .map(
            candidates ->
                new ForwardedStatement(this, task, candidates, lastWrite, Optional.of(readOnly))
                    .run())
        .orElseGet(() -> StatementForwarder.NONE.forwardFirst(task, readOnly, lastWrite));
  }

  private Optional<List<HostState>> remoteHolders(StatementTask task) {
    return selector.remoteHolders(context.views().current(), task.database().group());
  }

  /** Returns how long to wait for the reply of a holder. */
  static Duration replyTimeout(StatementTask task, long sentNanos) {
    long remainingNanos = Math.max(0, task.deadlineNanos() - sentNanos);
    return Duration.ofNanos(remainingNanos).plusMillis(REPLY_MARGIN_MILLIS);
  }

  /** Returns the number of the next transaction that this host begins on a holder. */
  long nextTransactionNumber() {
    return lastTransactionNumber.incrementAndGet();
  }

  /** Returns a request message for a statement of this host's caller. */
  HeldStatementRequest.Builder message(
      StatementTask task, Optional<GroupRouting.Floor> lastWrite, long nowNanos) {
    return HeldStatementCodec.requestMessage(task, lastWrite, nowNanos)
        .setHost(self.id().value())
        .setIncarnation(self.incarnation());
  }

  /** Rolls back a transaction on a holder. */
  void rollBack(HostState holder, long transaction) {
    client.end(
        holder,
        EndHeldTransactionRequest.newBuilder()
            .setHost(self.id().value())
            .setIncarnation(self.incarnation())
            .setTransaction(transaction)
            .build());
  }
}
