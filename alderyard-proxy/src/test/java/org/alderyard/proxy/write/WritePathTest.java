package org.alderyard.proxy.write;

import static com.google.common.truth.Truth.assertThat;
import static org.alderyard.proxy.write.TestGroup.A;
import static org.alderyard.proxy.write.TestGroup.B;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.backend.LedgerKey;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.RequestId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.pool.ServerPools;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What a caller is told of a write when its primary fails, moves or was full. */
class WritePathTest {
  private static final Duration LONG = Duration.ofMinutes(1);
  private static final AlderyardException BROKEN =
      AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "broken", null);

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final TestGroup group = new TestGroup();
  private final FakeServers servers = new FakeServers();
  private boolean ledger;
  private boolean leaseValid = true;
  private final WritePath writes =
      new WritePath(
          group.views,
          new ServerPools(servers),
          new FakeReplicas(),
          new RetryBudget(1, 5),
          WriteAdmission.OPEN,
          id -> ledger,
          () -> leaseValid,
          workers,
          MonotonicClock.system());

  @AfterEach
  void stop() {
    workers.close();
  }

  /**
   * A failover runs: the group has no primary for a moment. An order that arrives meanwhile waits
   * and runs on the new primary; its caller sees a slow answer and no error.
   */
  @Test
  void writeWaitsForNewPrimary() {
    servers.answers(2, 1);
    group.publish(1, Optional.empty());
    CompletableFuture<WriteAnswer> write = writes.run(order(LONG));
    assertThat(write.isDone()).isFalse();

    group.publish(2, Optional.of(B));

    assertThat(write.join().server()).isEqualTo(B);
  }

  /**
   * The proxy's view is a moment old: the primary it knows has just been fenced and refuses the
   * order. Nothing ran, so the order goes to the primary of the next term, and not earlier.
   */
  @Test
  void refusalOfFencedPrimaryMovesToLaterTerm() {
    servers.fails(new BackendException(Refusal.NOT_PRIMARY, "fenced")).answers(2, 1);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(LONG));
    assertThat(servers.sent).hasSize(1);

    group.publish(2, Optional.of(B));

    assertThat(write.join().server()).isEqualTo(B);
    assertThat(servers.sent.get(1).statement().term()).isEqualTo(2);
  }

  /**
   * The primary's process is stopped with an order on its connection, and wakes after it was
   * replaced. The caller is told at once that the outcome is unknown, not at its deadline; the
   * answer that comes after the wake is never passed on as an acknowledgement.
   */
  @Test
  void stoppedPrimaryEndsWriteAtItsReplacement() {
    CompletableFuture<BackendAnswer> asleep = new CompletableFuture<>();
    servers.does(statement -> asleep);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(LONG));
    assertThat(write.isDone()).isFalse();

    group.publish(2, Optional.empty());

    AlderyardException failure = failureOf(write);
    assertThat(failure.code()).isEqualTo(ErrorCode.PRIMARY_REPLACED);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    asleep.complete(new BackendAnswer(JsonNodeFactory.instance.nullNode(), new Position(1, 1)));
    assertThat(failureOf(write)).isEqualTo(failure);
    servers.answers(2, 1);
    group.publish(2, Optional.of(B));
    assertThat(writes.run(order(LONG)).join().server()).isEqualTo(B);
  }

  /** The same with servers that keep a ledger: the order is sent again under its name. */
  @Test
  void ledgerResendsWriteOfStoppedPrimary() {
    ledger = true;
    servers.does(statement -> new CompletableFuture<>()).answers(2, 1);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(LONG));

    group.publish(2, Optional.of(B));

    assertThat(write.join().server()).isEqualTo(B);
    assertThat(servers.sent).hasSize(2);
  }

  /** No primary comes before the deadline: the order was given to no server, and is told so. */
  @Test
  void noPrimaryBeforeDeadlineIsNotRun() {
    group.publish(1, Optional.empty());

    AlderyardException failure = failureOf(writes.run(order(Duration.ofMillis(10))));

    assertThat(failure.code()).isEqualTo(ErrorCode.NO_PRIMARY);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(failure.retryAfterMillis().isPresent()).isTrue();
    assertThat(servers.sent).isEmpty();
  }

  /** The primary says that it leaves: it gets no new order, which waits for the next primary. */
  @Test
  void leavingPrimaryGetsNoNewWrite() {
    group.publish(1, Optional.of(A), ServerStatus.LEAVING);

    failureOf(writes.run(order(Duration.ofMillis(10))));

    assertThat(servers.sent).isEmpty();
  }

  /** The connection breaks after an order was sent: it is sent once, and the outcome is unknown. */
  @Test
  void brokenConnectionIsUnknownAndNotSentAgain() {
    servers.fails(BROKEN);
    group.publish(1, Optional.of(A));

    assertThat(failureOf(writes.run(order(LONG))).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(servers.sent).hasSize(1);
  }

  /**
   * The connection breaks, the servers keep a ledger: the order is sent again under the same name,
   * and the answer of the ledger is the answer of the first run.
   */
  @Test
  void ledgerAnswersAfterBrokenConnection() {
    ledger = true;
    servers.fails(BROKEN).answers(1, 7);
    group.publish(1, Optional.of(A));

    assertThat(writes.run(order(LONG)).join().position().index()).isEqualTo(7);
    assertThat(servers.sent.get(1).statement()).isEqualTo(servers.sent.get(0).statement());
  }

  /**
   * The first attempt breaks, the second one is refused as not run. The first may still have run,
   * so the caller must not be told that the order did not.
   */
  @Test
  void refusalAfterDoubtStaysUnknown() {
    ledger = true;
    servers.fails(BROKEN).fails(new BackendException(Refusal.STATEMENT_FAILED, "wrong"));
    group.publish(1, Optional.of(A));

    assertThat(failureOf(writes.run(order(LONG))).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /**
   * A pool acknowledges by its primary alone. The primary sleeps while it runs an order, is
   * replaced, wakes and answers: the order may be lost, so it must not be acknowledged.
   */
  @Test
  void answerOfReplacedPrimaryIsNotAcknowledged() {
    CompletableFuture<org.alderyard.backend.BackendAnswer> slow = new CompletableFuture<>();
    servers.does(statement -> slow);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(LONG));
    group.publish(2, Optional.of(B));

    slow.complete(
        new org.alderyard.backend.BackendAnswer(
            com.fasterxml.jackson.databind.node.NullNode.instance,
            new org.alderyard.common.id.Position(1, 4)));

    AlderyardException failure = failureOf(write);
    assertThat(failure.code()).isEqualTo(ErrorCode.PRIMARY_REPLACED);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /** A proxy that is cut off from the control hosts sends nothing on an old view. */
  @Test
  void expiredViewLeaseIsNotRun() {
    leaseValid = false;
    group.publish(1, Optional.of(A));

    assertThat(failureOf(writes.run(order(LONG))).code()).isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(servers.sent).isEmpty();
  }

  /**
   * A proxy is cut off while an order waits for a primary. The new primary that it hears of comes
   * from a host that is not confirmed, so the order must not go there.
   */
  @Test
  void leaseThatExpiresDuringTheWaitIsNotRun() {
    group.publish(1, Optional.empty());
    CompletableFuture<WriteAnswer> write = writes.run(order(LONG));
    leaseValid = false;
    group.publish(2, Optional.of(B));

    assertThat(failureOf(write).code()).isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(servers.sent).isEmpty();
  }

  private static WriteRequest order(Duration timeout) {
    return new WriteRequest(
        TestGroup.pool(WriteAcknowledgement.PRIMARY_ONLY),
        TestGroup.GROUP,
        "order-1",
        "put",
        List.of(),
        Optional.of(new LedgerKey(new CallerId("shop"), new RequestId("r1"))),
        OptionalLong.empty(),
        timeout);
  }

  private static AlderyardException failureOf(CompletableFuture<WriteAnswer> write) {
    return Futures.typed(assertThrows(CompletionException.class, write::join));
  }
}
