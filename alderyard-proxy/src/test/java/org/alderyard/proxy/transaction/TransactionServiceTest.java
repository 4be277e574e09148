package org.alderyard.proxy.transaction;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendStatement;
import org.alderyard.backend.StatementKind;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.PausedClock;
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

/** What becomes of a transaction when its time, its connection or its answer is lost. */
class TransactionServiceTest {
  private static final Duration LONG = Duration.ofMinutes(1);
  private static final CallerId PACKER = new CallerId("packer");
  private static final TransactionLimits LIMITS =
      new TransactionLimits(Duration.ofSeconds(10), Duration.ofSeconds(60), 2, 100);
  private static final AlderyardException BROKEN =
      AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "broken", null);

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final PausedClock clock = new PausedClock();
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

  /** A packer goes home in the middle: the connection is not held for ever, nothing is done. */
  @Test
  void idleTransactionIsDroppedWithItsConnection() {
    final TransactionId id = begin();
    clock.advance(LIMITS.idle());
    transactions.expire();

    assertThat(servers.openConnections).isEqualTo(0);
    AlderyardException late = failureOf(() -> transactions.commit(id, PACKER, LONG));
    assertThat(late.code()).isEqualTo(ErrorCode.TRANSACTION_LOST);
    assertThat(late.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** A script keeps its transaction busy for an hour: the total limit ends it all the same. */
  @Test
  void busyTransactionEndsAtItsTotalLimit() {
    servers.thenRun(statement -> new CompletableFuture<>());
    final TransactionId id = begin();
    transactions.run(id, PACKER, statement(), LONG);
    clock.advance(LIMITS.idle());
    transactions.expire();
    assertThat(transactions.openCount()).isEqualTo(1);

    clock.advance(LIMITS.total());
    transactions.expire();

    assertThat(transactions.openCount()).isEqualTo(0);
    assertThat(transactions.ended(id).isDone()).isTrue();
  }

  /** The connection breaks under a statement: no commit was sent, so nothing has an effect. */
  @Test
  void brokenStatementLosesTheTransaction() {
    servers.thenFail(BROKEN);
    final TransactionId id = begin();

    AlderyardException failure = failureOf(() -> transactions.run(id, PACKER, statement(), LONG));

    assertThat(failure.code()).isEqualTo(ErrorCode.TRANSACTION_LOST);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(servers.openConnections).isEqualTo(0);
  }

  /** The answer to a commit is lost: it may have been done, and stays unknown when asked again. */
  @Test
  void lostAnswerToCommitStaysUnknown() {
    servers.thenFail(BROKEN);
    final TransactionId id = begin();

    for (int sending = 0; sending < 2; sending++) {
      assertThat(failureOf(() -> transactions.commit(id, PACKER, LONG)).outcome())
          .isEqualTo(Outcome.OUTCOME_UNKNOWN);
    }
    assertThat(failureOf(() -> transactions.rollback(id, PACKER, LONG)).outcome())
        .isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /** A caller sends two statements at once: the second must not use the busy connection. */
  @Test
  void secondRequestAtTheSameTimeIsRefused() {
    servers.thenRun(statement -> new CompletableFuture<BackendAnswer>());
    final TransactionId id = begin();
    transactions.run(id, PACKER, statement(), LONG);

    AlderyardException second = failureOf(() -> transactions.run(id, PACKER, statement(), LONG));

    assertThat(second.code()).isEqualTo(ErrorCode.REQUEST_IN_PROGRESS);
    assertThat(servers.sent).hasSize(1);
  }

  /** One caller must not write into the transaction of another one, and too many are refused. */
  @Test
  void foreignCallersAndTooManyTransactionsAreRefused() {
    final TransactionId id = begin();
    begin();

    assertThat(
            failureOf(() -> transactions.run(id, new CallerId("other"), statement(), LONG)).code())
        .isEqualTo(ErrorCode.TRANSACTION_UNKNOWN);
    assertThat(failureOf(() -> CompletableFuture.completedFuture(begin())).code())
        .isEqualTo(ErrorCode.OVERLOADED);
  }

  private TransactionId begin() {
    return transactions
        .begin(PACKER, TestGroup.pool(WriteAcknowledgement.PRIMARY_ONLY), TestGroup.GROUP, LONG)
        .join();
  }

  private static BackendStatement statement() {
    return new BackendStatement(
        StatementKind.WRITE, "order", "append", List.of(), 0, Optional.empty());
  }

  private static AlderyardException failureOf(Supplier<CompletableFuture<?>> request) {
    return Futures.typed(assertThrows(RuntimeException.class, () -> request.get().join()));
  }
}
