package org.alderyard.proxy.transaction;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.alderyard.backend.BackendResponse;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.ManualClock;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.write.FakeReplicas;
import org.alderyard.proxy.write.FakeServers;
import org.alderyard.proxy.write.TestGroup;
import org.alderyard.proxy.write.WriteAdmission;
import org.alderyard.proxy.write.WritePath;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests transactions that expire, lose their connection or lose an answer. */
class TransactionServiceTest {
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final CallerId CALLER = new CallerId("packer");
  private static final TransactionLimits LIMITS =
      new TransactionLimits(Duration.ofSeconds(10), Duration.ofSeconds(60), 2, 100);
  private static final AlderyardException CONNECTION_BROKEN =
      AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "broken", null);

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final ManualClock clock = new ManualClock();
  private final TestGroup group = new TestGroup();
  private final FakeServers servers = new FakeServers();
  private final ServerPools pools = new ServerPools(servers);
  private final WritePath writes =
      new WritePath(
          group.views,
          pools,
          new FakeReplicas(),
          new RetryBudget(1, 5),
          WriteAdmission.OPEN,
          id -> false,
          () -> true,
          workers,
          clock);
  private final TransactionService transactions =
      new TransactionService(
          new HostId("h1"), 7, writes, pools, LIMITS, new SplittableRandom(1), clock);

  @BeforeEach
  void start() {
    group.publish(1, Optional.of(TestGroup.A));
  }

  @AfterEach
  void stop() {
    workers.close();
  }

  /**
   * An abandoned transaction is ended after the idle limit without effect, so that its connection
   * is not held indefinitely.
   */
  @Test
  void idleTransactionEndsAndItsConnectionCloses() {
    final TransactionId id = begin();
    clock.advance(LIMITS.idle());
    transactions.endExpired();

    assertThat(servers.openConnections).isEqualTo(0);
    AlderyardException failure = failureOf(() -> transactions.commit(id, CALLER, TIMEOUT));
    assertThat(failure.code()).isEqualTo(ErrorCode.TRANSACTION_LOST);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** A transaction that is always busy is ended at the total limit. */
  @Test
  void busyTransactionEndsAtItsTotalLimit() {
    servers.thenRun(statement -> new CompletableFuture<>());
    final TransactionId id = begin();
    transactions.run(id, CALLER, statement(), TIMEOUT);
    clock.advance(LIMITS.idle());
    transactions.endExpired();
    assertThat(transactions.openCount()).isEqualTo(1);

    clock.advance(LIMITS.total());
    transactions.endExpired();

    assertThat(transactions.openCount()).isEqualTo(0);
    assertThat(transactions.whenEnded(id).isDone()).isTrue();
  }

  /**
   * If the connection breaks during a statement, no commit was sent and the transaction has no
   * effect.
   */
  @Test
  void brokenStatementLosesTheTransaction() {
    servers.thenFail(CONNECTION_BROKEN);
    final TransactionId id = begin();

    AlderyardException failure =
        failureOf(() -> transactions.run(id, CALLER, statement(), TIMEOUT));

    assertThat(failure.code()).isEqualTo(ErrorCode.TRANSACTION_LOST);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(servers.openConnections).isEqualTo(0);
  }

  /**
   * If the answer to a commit is lost, the outcome is unknown and stays unknown for a resent
   * commit.
   */
  @Test
  void lostAnswerToCommitStaysUnknown() {
    servers.thenFail(CONNECTION_BROKEN);
    final TransactionId id = begin();

    for (int attempt = 0; attempt < 2; attempt++) {
      assertThat(failureOf(() -> transactions.commit(id, CALLER, TIMEOUT)).outcome())
          .isEqualTo(Outcome.OUTCOME_UNKNOWN);
    }
    assertThat(failureOf(() -> transactions.rollback(id, CALLER, TIMEOUT)).outcome())
        .isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /** Guards against two concurrent requests of a transaction on one connection. */
  @Test
  void concurrentRequestIsRejected() {
    servers.thenRun(statement -> new CompletableFuture<BackendResponse>());
    final TransactionId id = begin();
    transactions.run(id, CALLER, statement(), TIMEOUT);

    AlderyardException failure =
        failureOf(() -> transactions.run(id, CALLER, statement(), TIMEOUT));

    assertThat(failure.code()).isEqualTo(ErrorCode.REQUEST_IN_PROGRESS);
    assertThat(servers.sent).hasSize(1);
  }

  /** Requests of other callers and transactions beyond the limit are rejected. */
  @Test
  void otherCallersAndExcessTransactionsAreRejected() {
    final TransactionId id = begin();
    begin();

    assertThat(
            failureOf(() -> transactions.run(id, new CallerId("other"), statement(), TIMEOUT))
                .code())
        .isEqualTo(ErrorCode.TRANSACTION_UNKNOWN);
    assertThat(failureOf(() -> CompletableFuture.completedFuture(begin())).code())
        .isEqualTo(ErrorCode.OVERLOADED);
  }

  private TransactionId begin() {
    return transactions
        .begin(CALLER, TestGroup.pool(WriteAcknowledgement.PRIMARY_ONLY), TestGroup.GROUP, TIMEOUT)
        .join();
  }

  private static BackendStatement statement() {
    return new BackendStatement(
        StatementKind.WRITE, "order", "append", List.of(), 0, Optional.empty());
  }

  private static AlderyardException failureOf(Supplier<CompletableFuture<?>> request) {
    return Futures.toAlderyardException(
        assertThrows(RuntimeException.class, () -> request.get().join()));
  }
}
