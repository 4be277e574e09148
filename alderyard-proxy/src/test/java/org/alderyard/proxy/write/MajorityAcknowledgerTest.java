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

/** When a write counts as held by a majority, and what it costs to know. */
class MajorityAcknowledgerTest {
  private static final Duration LONG = Duration.ofMinutes(1);

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final TestGroup group = new TestGroup();
  private final FakeReplicas replicas = new FakeReplicas();
  private MajorityAcknowledger majority;

  @BeforeEach
  void start() {
    majority = new MajorityAcknowledger(group.views, replicas, workers);
    group.publish(1, Optional.of(A));
  }

  @AfterEach
  void stop() {
    workers.close();
  }

  /**
   * A sale begins and 100 orders arrive while a replica is slow. If each order asked the replicas
   * for itself, 200 requests would go out; one open question for each replica covers all of them.
   */
  @Test
  void onePollForEachReplicaCoversAllWaitingWrites() {
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    for (long index = 1; index <= 100; index++) {
      writes.add(majority.await(GROUP, 1, index, LONG));
    }
    assertThat(replicas.polls(B)).isEqualTo(1);
    assertThat(replicas.polls(C)).isEqualTo(1);

    replicas.answer(TestGroup.replica(B, 1, new Position(1, 60), 1));

    assertThat(writes.stream().filter(CompletableFuture::isDone).count()).isEqualTo(60);
    assertThat(replicas.asked(B)).isEqualTo(new Position(1, 61));
    replicas.answer(TestGroup.replica(B, 1, new Position(1, 100), 1));
    assertThat(writes.stream().allMatch(CompletableFuture::isDone)).isTrue();
    assertThat(majority.polls()).isEqualTo(3);
  }

  /** A write that a replica is known to hold already is acknowledged without a question. */
  @Test
  void knownIndexNeedsNoPoll() {
    majority.await(GROUP, 1, 7, LONG);
    replicas.answer(TestGroup.replica(B, 1, new Position(1, 9), 1));

    assertThat(majority.await(GROUP, 1, 8, LONG).isDone()).isTrue();
    assertThat(majority.polls()).isEqualTo(2);
  }

  /**
   * The old primary comes back as a replica. It names the new term at once, but its log still ends
   * with ten entries of its own that nobody else holds. A new order gets index 6; the replica says
   * that it holds index 10. Counted, the order would be acknowledged with one copy.
   */
  @Test
  void tailOfReplacedPrimaryDoesNotCount() {
    group.publish(2, Optional.of(B));
    CompletableFuture<Void> write = majority.await(GROUP, 2, 6, LONG);

    replicas.answer(TestGroup.replica(A, 2, new Position(1, 10), 1));
    assertThat(write.isDone()).isFalse();

    replicas.answer(TestGroup.replica(C, 2, new Position(2, 6), 2));
    assertThat(write.isDone()).isTrue();
  }

  /**
   * The primary sleeps, is replaced, wakes and runs an order that was under way to it. Its replica
   * held the index before it was fenced at term 2; its answer names term 2 and must not count.
   */
  @Test
  void replicaOfHigherTermDoesNotCount() {
    CompletableFuture<Void> write = majority.await(GROUP, 1, 4, LONG);

    replicas.answer(TestGroup.replica(B, 2, new Position(1, 4), 1));
    replicas.answer(TestGroup.replica(C, 2, new Position(1, 4), 1));

    assertThat(write.isDone()).isFalse();
  }

  /**
   * An order ran on the primary, and the primary is replaced before a replica has the order. The
   * caller must not wait for its deadline: it is told at once that the outcome is not known.
   */
  @Test
  void replacedPrimaryLeavesUnknownOutcomeAtOnce() {
    CompletableFuture<Void> write = majority.await(GROUP, 1, 4, LONG);

    group.publish(2, Optional.of(B));

    AlderyardException failure = failureOf(write);
    assertThat(failure.code()).isEqualTo(ErrorCode.PRIMARY_REPLACED);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(failureOf(majority.await(GROUP, 1, 5, LONG)).code())
        .isEqualTo(ErrorCode.PRIMARY_REPLACED);
  }

  /** Both replicas are cut off: the caller learns at its deadline that the outcome is unknown. */
  @Test
  void noMajorityInTimeIsUnknown() {
    AlderyardException failure = failureOf(majority.await(GROUP, 1, 4, Duration.ofMillis(10)));

    assertThat(failure.code()).isEqualTo(ErrorCode.NO_QUORUM);
    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  private static AlderyardException failureOf(CompletableFuture<Void> write) {
    return Futures.typed(assertThrows(CompletionException.class, write::join));
  }
}
