package org.alderyard.proxy.write;

import static com.google.common.truth.Truth.assertThat;
import static org.alderyard.proxy.write.TestGroup.A;
import static org.alderyard.proxy.write.TestGroup.B;
import static org.alderyard.proxy.write.TestGroup.C;
import static org.alderyard.proxy.write.TestGroup.GROUP;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.Position;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when a write counts as held by a majority, and how many polls that takes. */
class MajorityAcknowledgerTest {
  private static final Duration TIMEOUT = Duration.ofMinutes(1);

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final TestGroup group = new TestGroup();
  private final FakeReplicas replicas = new FakeReplicas();
  private MajorityAcknowledger acknowledger;

  @BeforeEach
  void start() {
    acknowledger = new MajorityAcknowledger(group.views, replicas, workers);
    group.publish(1, Optional.of(A));
  }

  @AfterEach
  void stop() {
    workers.close();
  }

  /**
   * Guards against one poll per pending write: 100 writes arrive while a replica is slow, and would
   * cause 200 polls. One open poll per replica covers all of them.
   */
  @Test
  void onePollForEachReplicaCoversAllWaitingWrites() {
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    for (long index = 1; index <= 100; index++) {
      writes.add(acknowledger.await(GROUP, 1, index, TIMEOUT));
    }
    assertThat(replicas.pollCount(B)).isEqualTo(1);
    assertThat(replicas.pollCount(C)).isEqualTo(1);

    replicas.answer(TestGroup.replicaReport(B, 1, new Position(1, 60), 1));

    assertThat(writes.stream().filter(CompletableFuture::isDone).count()).isEqualTo(60);
    assertThat(replicas.requestedPosition(B)).isEqualTo(new Position(1, 61));
    replicas.answer(TestGroup.replicaReport(B, 1, new Position(1, 100), 1));
    assertThat(writes.stream().allMatch(CompletableFuture::isDone)).isTrue();
    assertThat(acknowledger.pollCount()).isEqualTo(3);
  }

  /** A write that a replica is already known to hold is acknowledged without a poll. */
  @Test
  void knownIndexNeedsNoPoll() {
    acknowledger.await(GROUP, 1, 7, TIMEOUT);
    replicas.answer(TestGroup.replicaReport(B, 1, new Position(1, 9), 1));

    assertThat(acknowledger.await(GROUP, 1, 8, TIMEOUT).isDone()).isTrue();
    assertThat(acknowledger.pollCount()).isEqualTo(2);
  }

  /**
   * A replaced primary returns as a replica and reports the new term, while its log still ends with
   * ten entries that no other server holds. If its index 10 counted, a new write at index 6 would
   * be acknowledged with one copy.
   */
  @Test
  void tailOfReplacedPrimaryDoesNotCount() {
    group.publish(2, Optional.of(B));
    CompletableFuture<Void> write = acknowledger.await(GROUP, 2, 6, TIMEOUT);

    replicas.answer(TestGroup.replicaReport(A, 2, new Position(1, 10), 1));
    assertThat(write.isDone()).isFalse();

    replicas.answer(TestGroup.replicaReport(C, 2, new Position(2, 6), 2));
    assertThat(write.isDone()).isTrue();
  }

  /**
   * A suspended primary is replaced, resumes and runs a write that was in flight. Its replica held
   * the index before it was fenced at term 2, so a report of term 2 must not count.
   */
  @Test
  void replicaOfHigherTermDoesNotCount() {
    CompletableFuture<Void> write = acknowledger.await(GROUP, 1, 4, TIMEOUT);

    replicas.answer(TestGroup.replicaReport(B, 2, new Position(1, 4), 1));
    replicas.answer(TestGroup.replicaReport(C, 2, new Position(1, 4), 1));

    assertThat(write.isDone()).isFalse();
  }

  /**
   * The primary is replaced after it ran a write and before a replica holds it. The caller must
   * receive an unknown outcome immediately and not at its deadline.
   */
  @Test
  void replacedPrimaryFailsWriteImmediatelyAsUnknown() {
    CompletableFuture<Void> write = acknowledger.await(GROUP, 1, 4, TIMEOUT);

    group.publish(2, Optional.of(B));

    AlderyardException failure = failureOf(write);
    assertThat(failure.code()).isEqualTo(ErrorCode.PRIMARY_REPLACED);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(failureOf(acknowledger.await(GROUP, 1, 5, TIMEOUT)).code())
        .isEqualTo(ErrorCode.PRIMARY_REPLACED);
  }

  /** Without reachable replicas, the write fails at its deadline with an unknown outcome. */
  @Test
  void noMajorityInTimeIsUnknown() {
    AlderyardException failure = failureOf(acknowledger.await(GROUP, 1, 4, Duration.ofMillis(10)));

    assertThat(failure.code()).isEqualTo(ErrorCode.NO_QUORUM);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  private static AlderyardException failureOf(CompletableFuture<Void> write) {
    return Futures.toAlderyardException(assertThrows(CompletionException.class, write::join));
  }
}
