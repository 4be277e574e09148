package org.alderyard.proxy.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.alderyard.proxy.admission.AdmissionDecision.Reason;
import org.junit.jupiter.api.Test;

class DeadlineAdmissionTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final DeadlineAdmission policy = new DeadlineAdmission();

  /** A statement that arrives at time 0 with an objective of 400 ms and a timeout of 1,000 ms. */
  private static AdmissionRequest request() {
    return AdmissionRequest.of(1_000 * MILLI, 1_000, 400, 1, false);
  }

  private static ServerLoad server(int inFlight, long availableAfterMillis) {
    return new ServerLoad(5, 5, inFlight, false, 20 * MILLI, availableAfterMillis * MILLI);
  }

  private static AdmissionLoad load(int queued, double admittedPerSecond, ServerLoad... servers) {
    double perNano = admittedPerSecond / TimeUnit.SECONDS.toNanos(1);
    return new AdmissionLoad(List.of(servers), queued, queued, 0, perNano, 0);
  }

  private static AdmissionLoad outage(long millis) {
    return new AdmissionLoad(List.of(server(0, millis)), 0, 0, 0, 0, millis * MILLI);
  }

  private static Reason reason(AdmissionDecision decision) {
    return ((AdmissionDecision.Reject) decision).reason();
  }

  /** Guards against refusals beside free slots, whatever the servers' measured times are. */
  @Test
  void statementRunsWhileSlotIsFree() {
    ServerLoad slow = new ServerLoad(5, 1, 4, false, 5_000 * MILLI, 0);

    assertThat(policy.decide(request(), load(0, 900, slow), 0)).isEqualTo(AdmissionDecision.RUN);
  }

  /** Guards against an arrival that takes the slot of a queued statement. */
  @Test
  void statementWaitsBehindQueuedOnes() {
    AdmissionDecision decision = policy.decide(request(), load(3, 0, server(4, 0)), 0);

    assertThat(decision).isInstanceOf(AdmissionDecision.Wait.class);
  }

  /** Load: a queue of four seconds. The statement is refused on arrival, with a retry time. */
  @Test
  void statementBehindLongQueueIsRefusedAtOnce() {
    AdmissionDecision decision = policy.decide(request(), load(1_000, 250, server(5, 0)), 0);

    assertThat(reason(decision)).isEqualTo(Reason.OVERLOAD);
    assertThat(((AdmissionDecision.Reject) decision).retryAfterNanos()).isAtLeast(20 * MILLI);
  }

  /** Load: a burst has passed and servers have time to spare, so that late answers are possible. */
  @Test
  void lateStatementIsAdmittedOnlyIfServersHaveTimeToSpare() {
    assertThat(policy.decide(request(), load(150, 10, server(5, 0)), 0))
        .isInstanceOf(AdmissionDecision.Wait.class);
    assertThat(reason(policy.decide(request(), load(150, 245, server(5, 0)), 0)))
        .isEqualTo(Reason.OVERLOAD);
  }

  /** Guards against reads that wait until their deadline for replicas that lag by more than it. */
  @Test
  void readIsRefusedIfReplicasLagBeyondItsDeadline() {
    AdmissionDecision refused =
        policy.decide(request(), load(0, 0, server(0, 3_000), server(0, 2_000)), 0);

    assertThat(reason(refused)).isEqualTo(Reason.LAG);
    assertThat(((AdmissionDecision.Reject) refused).retryAfterNanos()).isAtLeast(2_000 * MILLI);
    assertThat(policy.decide(request(), load(0, 0, server(0, 30), server(0, 2_000)), 0))
        .isInstanceOf(AdmissionDecision.Wait.class);
  }

  /** Guards against statements that wait for a primary which comes after their deadline. */
  @Test
  void statementIsRefusedIfPromotionEndsAfterItsDeadline() {
    AdmissionLoad failover = outage(2_000);

    assertThat(reason(policy.decide(request(), failover, 0))).isEqualTo(Reason.NO_PRIMARY);
    assertThat(policy.decide(request(), failover, 0)).isInstanceOf(AdmissionDecision.Reject.class);
    AdmissionLoad almostOver = outage(300);
    assertThat(policy.decide(request(), almostOver, 0)).isInstanceOf(AdmissionDecision.Wait.class);
  }

  /** Guards against statements that are sent so late that their outcome would be unknown. */
  @Test
  void expiredStatementIsRefusedAlsoBesideFreeSlots() {
    assertThat(reason(policy.decide(request(), load(0, 0, server(0, 0)), 995 * MILLI)))
        .isEqualTo(Reason.EXPIRED);
  }
}
