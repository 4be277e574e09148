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

/** An order that is sent again, elsewhere and at bad moments, runs at most once. */
class OwnerLedgerTest {
  private static final LedgerLimits LIMITS =
      new LedgerLimits(
          Duration.ofMinutes(10), Duration.ofMillis(500), Duration.ofSeconds(3), 100, 10_000);
  private static final Duration SETTLED = Duration.ofMinutes(1);

  private final TestProxies cluster = new TestProxies(LIMITS, "p1", "p2", "p3");

  @BeforeEach
  void settle() {
    cluster.publishToAll("p1", "p2", "p3");
    cluster.advance(SETTLED);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /**
   * A customer's browser gets no answer and sends the order again; the balancer picks another proxy
   * each time. All sendings are the one order and get its one answer.
   */
  @Test
  void resendThroughOtherProxiesGetsFirstAnswer() {
    for (String proxy : List.of("p1", "p2", "p3")) {
      WriteAnswer answer = cluster.proxy(proxy).send("order-1", cluster.nowMillis).join();
      assertThat(answer.result().asInt()).isEqualTo(1);
    }
    assertThat(cluster.runs).containsExactly("order-1", 1);
  }

  /** The button is pressed three times while the first order still runs: one run, one answer. */
  @Test
  void concurrentResendsShareOneRun() {
    CompletableFuture<Void> databaseReady = new CompletableFuture<>();
    cluster.database = request -> databaseReady.thenCompose(go -> cluster.answer(request));
    var sendings =
        List.of("p1", "p2", "p3").stream()
            .map(proxy -> cluster.proxy(proxy).send("order-1", cluster.nowMillis))
            .toList();

    databaseReady.complete(null);

    sendings.forEach(sending -> assertThat(sending.join().result().asInt()).isEqualTo(1));
    assertThat(cluster.runs).containsExactly("order-1", 1);
  }

  /**
   * The primary dies between the run of an order and its acknowledgement. Nobody can know whether
   * the order ran, so every resend is told the same and none runs it again.
   */
  @Test
  void doubtIsKeptAndNeverRunAgain() {
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
    assertThat(cluster.runs).containsExactly("order-1", 1);
  }

  /** The first sending is refused by a full server and ran nowhere: the resend runs. */
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

  /** A shop numbers its orders from 1 again after a reset: order 1 of today is another order. */
  @Test
  void otherContentUnderSameIdIsRefused() {
    cluster.proxy("p1").send("order-1", cluster.nowMillis).join();

    AlderyardException failure =
        failureOf(cluster.proxy("p2").ledger.run(cluster.order("order-1", cluster.nowMillis, "b")));

    assertThat(failure.code()).isEqualTo(ErrorCode.REQUEST_ID_REUSED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** The owner's reply is lost on the way to the other proxy, which asks again: one run. */
  @Test
  void lostReplyOfOwnerIsAskedForAgain() {
    final String id = cluster.idOwnedBy("p1", "p1", "p2", "p3");
    cluster.proxy("p1").repliesToLose = 1;

    assertThat(cluster.proxy("p2").send(id, cluster.nowMillis).join().result().asInt())
        .isEqualTo(1);
    assertThat(cluster.runs).containsExactly(id, 1);
  }

  /**
   * The proxy that ran an order dies before it answers, and its record dies with it. The resend
   * goes to the next owner, which knows nothing: it must not run the order again. Orders that were
   * first sent after the old owner had certainly stopped run as ever.
   */
  @Test
  void orderOfDeadOwnerIsNotRunAgain() {
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
    assertThat(cluster.runs).containsExactly(id, 1, "later", 1);
  }

  /**
   * The owner is cut off and still admits on its old view for the length of its lease, while the
   * next owner is in force already. The customer sends one new order to both of them.
   */
  @Test
  void ownersOfTwoViewsDoNotBothRunAnOrder() {
    final String id = cluster.idOwnedBy("p1", "p1", "p2", "p3");
    cluster.publish("p2", "p3");
    cluster.proxy("p2").views.offer(cluster.latest);
    cluster.proxy("p3").views.offer(cluster.latest);

    cluster.proxy("p1").send(id, cluster.nowMillis).join();
    failureOf(cluster.proxy("p2").send(id, cluster.nowMillis));
    cluster.proxy("p1").leaseValid = false;
    AlderyardException refused = failureOf(cluster.proxy("p1").send(id, cluster.nowMillis));

    assertThat(refused.code()).isEqualTo(ErrorCode.VIEW_LEASE_EXPIRED);
    assertThat(cluster.runs).containsExactly(id, 1);
  }

  /**
   * A proxy is cut off, its ids pass to another one and back, and it never sees the view between.
   * What the other one ran meanwhile must not run again at the returned one.
   */
  @Test
  void returnedOwnerDoesNotTrustItsOldTable() {
    final String id = cluster.idOwnedBy("p1", "p1", "p2", "p3");
    cluster.publish("p2", "p3");
    cluster.proxy("p2").views.offer(cluster.latest);
    cluster.proxy("p3").views.offer(cluster.latest);
    cluster.advance(SETTLED);
    final long sentMillis = cluster.nowMillis;
    cluster.proxy("p2").send(id, sentMillis).join();

    cluster.advance(Duration.ofSeconds(10));
    cluster.proxy("p1").ledger.viewLeaseLapsed();
    cluster.publishToAll("p1", "p2", "p3");

    assertThat(failureOf(cluster.proxy("p1").send(id, sentMillis)).outcome())
        .isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(cluster.runs).containsExactly(id, 1);
  }

  /** A resend that comes after the record is gone is refused; it is never taken for a new order. */
  @Test
  void orderOlderThanRetentionIsRefused() {
    final long sentMillis = cluster.nowMillis;
    cluster.proxy("p1").send("order-1", sentMillis).join();
    cluster.advance(LIMITS.retention().plusMillis(1));

    AlderyardException failure = failureOf(cluster.proxy("p2").send("order-1", sentMillis));

    assertThat(failure.code()).isEqualTo(ErrorCode.REQUEST_TOO_OLD);
    assertThat(cluster.runs).containsExactly("order-1", 1);
  }

  /** A flood fills the ledger: new orders are refused as not run, and no record is dropped. */
  @Test
  void fullLedgerRefusesNewOrdersAndKeepsRecords() {
    TestProxies one = new TestProxies(LIMITS, "p1");
    one.publishToAll("p1");
    one.advance(SETTLED);
    for (int number = 0; number < LIMITS.maxRequests(); number++) {
      one.proxy("p1").send("order-" + number, one.nowMillis).join();
    }

    AlderyardException failure = failureOf(one.proxy("p1").send("one-more", one.nowMillis));

    assertThat(failure.code()).isEqualTo(ErrorCode.OVERLOADED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(one.proxy("p1").send("order-0", one.nowMillis).join().result().asInt()).isEqualTo(1);
    one.close();
  }

  /** An id without a time can't be told from one that the ledger has forgotten. */
  @Test
  void idWithoutTimeIsRefusedUnlessItIsTimeOrdered() {
    String timeOrdered = "0199f3c2-5a00-7cc3-98c4-dc0c0c07398f";

    assertThat(RequestTime.of(new RequestId(timeOrdered)).getAsLong()).isEqualTo(0x0199f3c25a00L);
    assertThat(RequestTime.of(new RequestId("order-1")).isEmpty()).isTrue();
    assertThat(RequestTime.of(new RequestId("9f1b2c3d-0000-4000-8000-000000000000")).isEmpty())
        .isTrue();
  }

  private static AlderyardException failureOf(CompletableFuture<WriteAnswer> write) {
    return Futures.typed(assertThrows(CompletionException.class, write::join));
  }
}
