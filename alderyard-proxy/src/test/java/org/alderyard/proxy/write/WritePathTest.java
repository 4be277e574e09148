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
import org.alderyard.backend.BackendException;
import org.alderyard.backend.BackendException.Refusal;
import org.alderyard.backend.BackendResponse;
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

/** Tests the outcome of a write whose primary fails, is replaced or is full. */
class WritePathTest {
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final AlderyardException CONNECTION_BROKEN =
      AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "broken", null);

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final TestGroup group = new TestGroup();
  private final FakeServers servers = new FakeServers();
  private boolean hasServerLedger;
  private boolean leaseValid = true;
  private final WritePath writes =
      new WritePath(
          group.views,
          new ServerPools(servers),
          new FakeReplicas(),
          new RetryBudget(1, 5),
          WriteAdmission.OPEN,
          id -> hasServerLedger,
          () -> leaseValid,
          workers,
          MonotonicClock.system());

  @AfterEach
  void stop() {
    workers.close();
  }

  /**
   * A write that arrives during a failover, while the group has no primary, waits and runs on the
   * new primary.
   */
  @Test
  void writeWaitsForNewPrimary() {
    servers.thenAnswer(2, 1);
    group.publish(1, Optional.empty());
    CompletableFuture<WriteAnswer> write = writes.run(order(TIMEOUT));
    assertThat(write.isDone()).isFalse();

    group.publish(2, Optional.of(B));

    assertThat(write.join().server()).isEqualTo(B);
  }

  /**
   * The view is stale: the known primary was just fenced and refuses the write. The write did not
   * run, so it is sent to the primary of the next term, and not before that.
   */
  @Test
  void refusalOfFencedPrimaryIsRetriedInLaterTerm() {
    servers.thenFail(new BackendException(Refusal.NOT_PRIMARY, "fenced")).thenAnswer(2, 1);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(TIMEOUT));
    assertThat(servers.sent).hasSize(1);

    group.publish(2, Optional.of(B));

    assertThat(write.join().server()).isEqualTo(B);
    assertThat(servers.sent.get(1).statement().term()).isEqualTo(2);
  }

  /**
   * The primary is suspended with a write in flight, and resumes after its replacement. The caller
   * receives an unknown outcome immediately and not at its deadline, and the late answer is never
   * passed on as an acknowledgement.
   */
  @Test
  void writeOnSuspendedPrimaryFailsWhenPrimaryIsReplaced() {
    CompletableFuture<BackendResponse> lateResponse = new CompletableFuture<>();
    servers.thenRun(statement -> lateResponse);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(TIMEOUT));
    assertThat(write.isDone()).isFalse();

    group.publish(2, Optional.empty());

    AlderyardException failure = failureOf(write);
    assertThat(failure.code()).isEqualTo(ErrorCode.PRIMARY_REPLACED);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    lateResponse.complete(
        new BackendResponse(JsonNodeFactory.instance.nullNode(), new Position(1, 1)));
    assertThat(failureOf(write)).isEqualTo(failure);
    servers.thenAnswer(2, 1);
    group.publish(2, Optional.of(B));
    assertThat(writes.run(order(TIMEOUT)).join().server()).isEqualTo(B);
  }

  /**
   * When the servers keep a ledger, a write in flight on a suspended primary is resent under its
   * request ID.
   */
  @Test
  void writeOnSuspendedPrimaryIsResentWithServerLedger() {
    hasServerLedger = true;
    servers.thenRun(statement -> new CompletableFuture<>()).thenAnswer(2, 1);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(TIMEOUT));

    group.publish(2, Optional.of(B));

    assertThat(write.join().server()).isEqualTo(B);
    assertThat(servers.sent).hasSize(2);
  }

  /** Without a primary before the deadline, the write is sent to no server and fails as NOT_RUN. */
  @Test
  void noPrimaryBeforeDeadlineIsNotRun() {
    group.publish(1, Optional.empty());

    AlderyardException failure = failureOf(writes.run(order(Duration.ofMillis(10))));

    assertThat(failure.code()).isEqualTo(ErrorCode.NO_PRIMARY);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(failure.retryAfterMillis().isPresent()).isTrue();
    assertThat(servers.sent).isEmpty();
  }

  /** A leaving primary receives no new write; the write waits for the next primary. */
  @Test
  void leavingPrimaryGetsNoNewWrite() {
    group.publish(1, Optional.of(A), ServerStatus.LEAVING);

    failureOf(writes.run(order(Duration.ofMillis(10))));

    assertThat(servers.sent).isEmpty();
  }

  /** After a broken connection, a sent write is not resent and its outcome is unknown. */
  @Test
  void brokenConnectionIsUnknownAndNotResent() {
    servers.thenFail(CONNECTION_BROKEN);
    group.publish(1, Optional.of(A));

    assertThat(failureOf(writes.run(order(TIMEOUT))).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(servers.sent).hasSize(1);
  }

  /**
   * After a broken connection, with servers that keep a ledger, the write is resent under the same
   * request ID, and the answer from the ledger is that of the first run.
   */
  @Test
  void brokenConnectionIsResentWithServerLedger() {
    hasServerLedger = true;
    servers.thenFail(CONNECTION_BROKEN).thenAnswer(1, 7);
    group.publish(1, Optional.of(A));

    assertThat(writes.run(order(TIMEOUT)).join().position().index()).isEqualTo(7);
    assertThat(servers.sent.get(1).statement()).isEqualTo(servers.sent.get(0).statement());
  }

  /**
   * The first attempt breaks and the second is refused as not run. The first may have run, so the
   * outcome must be unknown and not NOT_RUN.
   */
  @Test
  void refusalAfterUnknownAttemptStaysUnknown() {
    hasServerLedger = true;
    servers
        .thenFail(CONNECTION_BROKEN)
        .thenFail(new BackendException(Refusal.STATEMENT_FAILED, "wrong"));
    group.publish(1, Optional.of(A));

    assertThat(failureOf(writes.run(order(TIMEOUT))).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /**
   * Guards against a lost acknowledged write in a pool that acknowledges by the primary alone: the
   * primary is suspended during a write, replaced, and answers after it resumes.
   */
  @Test
  void answerOfReplacedPrimaryIsNotAcknowledged() {
    CompletableFuture<org.alderyard.backend.BackendResponse> lateResponse =
        new CompletableFuture<>();
    servers.thenRun(statement -> lateResponse);
    group.publish(1, Optional.of(A));
    CompletableFuture<WriteAnswer> write = writes.run(order(TIMEOUT));
    group.publish(2, Optional.of(B));

    lateResponse.complete(
        new org.alderyard.backend.BackendResponse(
            com.fasterxml.jackson.databind.node.NullNode.instance,
            new org.alderyard.common.id.Position(1, 4)));

    AlderyardException failure = failureOf(write);
    assertThat(failure.code()).isEqualTo(ErrorCode.PRIMARY_REPLACED);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /** A proxy that is isolated from the control hosts sends nothing based on an old view. */
  @Test
  void expiredViewLeaseIsNotRun() {
    leaseValid = false;
    group.publish(1, Optional.of(A));

    assertThat(failureOf(writes.run(order(TIMEOUT))).code())
        .isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(servers.sent).isEmpty();
  }

  /**
   * The view lease expires while a write waits for a primary. The view with the new primary is not
   * confirmed, so the write must not be sent there.
   */
  @Test
  void leaseExpiredDuringWaitIsNotRun() {
    group.publish(1, Optional.empty());
    CompletableFuture<WriteAnswer> write = writes.run(order(TIMEOUT));
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
    return Futures.toAlderyardException(assertThrows(CompletionException.class, write::join));
  }
}
