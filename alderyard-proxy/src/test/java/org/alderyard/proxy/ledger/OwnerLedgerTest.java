package org.alderyard.proxy.ledger;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.RequestId;
import org.alderyard.proxy.write.WriteAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that a request that is resent through other proxies, and during failures, runs at most
 * once.
 */
class OwnerLedgerTest {
  private static final LedgerLimits LIMITS =
      new LedgerLimits(
          Duration.ofMinutes(10), Duration.ofMillis(500), Duration.ofSeconds(3), 100, 10_000);
  private static final Duration SETTLE_TIME = Duration.ofMinutes(1);

  private final TestProxies cluster = new TestProxies(LIMITS, "p1", "p2", "p3");

  @BeforeEach
  void settle() {
    cluster.publishToAll("p1", "p2", "p3");
    cluster.advance(SETTLE_TIME);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /**
   * A caller that gets no answer resends the request through another proxy. All copies share one
   * run and receive its answer.
   */
  @Test
  void resendThroughOtherProxiesGetsFirstAnswer() {
    for (String proxy : List.of("p1", "p2", "p3")) {
      WriteAnswer answer = cluster.proxy(proxy).send("order-1", cluster.nowMillis).join();
      assertThat(answer.result().asInt()).isEqualTo(1);
    }
    assertThat(cluster.runCounts).containsExactly("order-1", 1);
  }

  /** Three copies that arrive while the first is still running share one run. */
  @Test
  void concurrentResendsShareOneRun() {
    CompletableFuture<Void> databaseReady = new CompletableFuture<>();
    cluster.database = request -> databaseReady.thenCompose(ignored -> cluster.answer(request));
    var responses =
        List.of("p1", "p2", "p3").stream()
            .map(proxy -> cluster.proxy(proxy).send("order-1", cluster.nowMillis))
            .toList();

    databaseReady.complete(null);

    responses.forEach(response -> assertThat(response.join().result().asInt()).isEqualTo(1));
    assertThat(cluster.runCounts).containsExactly("order-1", 1);
  }

  /**
   * The primary fails between the run of a write and its acknowledgement. The outcome is unknown,
   * so every resend receives the same failure and none runs the write again.
   */
  @Test
  void unknownOutcomeIsKeptAndNeverRunAgain() {
    cluster.database =
        request -> {
          cluster.answer(request);
          return CompletableFuture.failedFuture(
              AlderyardException.unknown(ErrorCode.PRIMARY_REPLACED, "died", null));
        };
    for (String proxy : List.of("p1", "p2", "p3")) {
      AlderyardException failure =
          failureOf(cluster.proxy(proxy).send("order-1", cluster.nowMillis));
      assertThat(failure.code()).isEqualTo(ErrorCode.PRIMARY_REPLACED);
      assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    }
    assertThat(cluster.runCounts).containsExactly("order-1", 1);
  }

  /** A request that was rejected as not run by a full server runs when it is resent. */
  @Test
  void resendAfterNotRunIsNew() {
    cluster.database =
        request ->
            CompletableFuture.failedFuture(AlderyardException.notRun(ErrorCode.OVERLOADED, "full"));
    failureOf(cluster.proxy("p1").send("order-1", cluster.nowMillis));
    cluster.database = cluster::answer;

    assertThat(cluster.proxy("p2").send("order-1", cluster.nowMillis).join().result().asInt())
        .isEqualTo(1);
  }

  /**
   * Guards against a caller that reuses its IDs, such as one that restarts its numbering: another
   * write under a known ID is rejected.
   */
  @Test
  void otherContentUnderSameIdIsRejected() {
    cluster.proxy("p1").send("order-1", cluster.nowMillis).join();

    AlderyardException failure =
        failureOf(cluster.proxy("p2").ledger.run(cluster.order("order-1", cluster.nowMillis, "b")));

    assertThat(failure.code()).isEqualTo(ErrorCode.REQUEST_ID_REUSED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /**
   * The reply of the owner is lost; the forwarding proxy repeats the call, and the request runs
   * once.
   */
  @Test
  void lostReplyOfOwnerIsRequestedAgain() {
    final String id = cluster.idOwnedBy("p1", "p1", "p2", "p3");
    cluster.proxy("p1").repliesToLose = 1;

    assertThat(cluster.proxy("p2").send(id, cluster.nowMillis).join().result().asInt())
        .isEqualTo(1);
    assertThat(cluster.runCounts).containsExactly(id, 1);
  }

  /**
   * The owner fails after it ran a request, and its record is lost. The next owner must not run the
   * resend. A request that was first sent after the previous owner had certainly stopped runs
   * normally.
   */
  @Test
  void requestOfFailedOwnerIsNotRunAgain() {
    final String id = cluster.idOwnedBy("p1", "p1", "p2", "p3");
    final long sentMillis = cluster.nowMillis;
    cluster.proxy("p2").send(id, sentMillis).join();
    cluster.proxy("p1").reachable = false;
    cluster.publishToAll("p2", "p3");

    AlderyardException failure = failureOf(cluster.proxy("p3").send(id, sentMillis));

    assertThat(failure.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    cluster.advance(LIMITS.ownerChangeFence());
    assertThat(cluster.proxy("p3").send("later", cluster.nowMillis).join().result().asInt())
        .isEqualTo(1);
    assertThat(cluster.runCounts).containsExactly(id, 1, "later", 1);
  }

  /**
   * An isolated owner still admits requests under its old view for one lease, while the next owner
   * is already in use. The caller sends one new request to both.
   */
  @Test
  void ownersOfTwoViewsDoNotBothRunTheRequest() {
    final String id = cluster.idOwnedBy("p1", "p1", "p2", "p3");
    cluster.publish("p2", "p3");
    cluster.proxy("p2").views.updateIfNewer(cluster.latestView);
    cluster.proxy("p3").views.updateIfNewer(cluster.latestView);

    cluster.proxy("p1").send(id, cluster.nowMillis).join();
    failureOf(cluster.proxy("p2").send(id, cluster.nowMillis));
    cluster.proxy("p1").leaseValid = false;
    AlderyardException rejection = failureOf(cluster.proxy("p1").send(id, cluster.nowMillis));

    assertThat(rejection.code()).isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(cluster.runCounts).containsExactly(id, 1);
  }

  /**
   * An isolated proxy loses its IDs to another proxy and regains them without receiving the view in
   * between. It must not rerun a request that the other proxy ran.
   */
  @Test
  void returningOwnerDoesNotRerunRequestsOfOtherOwner() {
    final String id = cluster.idOwnedBy("p1", "p1", "p2", "p3");
    cluster.publish("p2", "p3");
    cluster.proxy("p2").views.updateIfNewer(cluster.latestView);
    cluster.proxy("p3").views.updateIfNewer(cluster.latestView);
    cluster.advance(SETTLE_TIME);
    final long sentMillis = cluster.nowMillis;
    cluster.proxy("p2").send(id, sentMillis).join();

    cluster.advance(Duration.ofSeconds(10));
    cluster.proxy("p1").ledger.onViewLeaseRegained();
    cluster.publishToAll("p1", "p2", "p3");

    assertThat(failureOf(cluster.proxy("p1").send(id, sentMillis)).outcome())
        .isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(cluster.runCounts).containsExactly(id, 1);
  }

  /**
   * A resend that arrives after the record has expired is rejected and not treated as a new
   * request.
   */
  @Test
  void requestOlderThanRetentionIsRejected() {
    final long sentMillis = cluster.nowMillis;
    cluster.proxy("p1").send("order-1", sentMillis).join();
    cluster.advance(LIMITS.retention().plusMillis(1));

    AlderyardException failure = failureOf(cluster.proxy("p2").send("order-1", sentMillis));

    assertThat(failure.code()).isEqualTo(ErrorCode.REQUEST_TOO_OLD);
    assertThat(cluster.runCounts).containsExactly("order-1", 1);
  }

  /** A full ledger rejects new requests as not run and evicts no record. */
  @Test
  void fullLedgerRejectsNewRequestsAndKeepsRecords() {
    TestProxies singleProxy = new TestProxies(LIMITS, "p1");
    singleProxy.publishToAll("p1");
    singleProxy.advance(SETTLE_TIME);
    for (int number = 0; number < LIMITS.maxRequests(); number++) {
      singleProxy.proxy("p1").send("order-" + number, singleProxy.nowMillis).join();
    }

    AlderyardException failure =
        failureOf(singleProxy.proxy("p1").send("one-more", singleProxy.nowMillis));

    assertThat(failure.code()).isEqualTo(ErrorCode.OVERLOADED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(
            singleProxy.proxy("p1").send("order-0", singleProxy.nowMillis).join().result().asInt())
        .isEqualTo(1);
    singleProxy.close();
  }

  /** A request ID without a timestamp cannot be distinguished from one whose record has expired. */
  @Test
  void onlyTimeOrderedIdContainsTime() {
    String timeOrdered = "0199f3c2-5a00-7cc3-98c4-dc0c0c07398f";

    assertThat(RequestTime.of(new RequestId(timeOrdered)).getAsLong()).isEqualTo(0x0199f3c25a00L);
    assertThat(RequestTime.of(new RequestId("order-1")).isEmpty()).isTrue();
    assertThat(RequestTime.of(new RequestId("9f1b2c3d-0000-4000-8000-000000000000")).isEmpty())
        .isTrue();
  }

  private static AlderyardException failureOf(CompletableFuture<WriteAnswer> write) {
    return Futures.toAlderyardException(assertThrows(CompletionException.class, write::join));
  }
}
