package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ServerSearchPolicyTest {
  private static final long TIMEOUT = TimeUnit.MILLISECONDS.toNanos(800);

  private static final long OBJECTIVE = TimeUnit.MILLISECONDS.toNanos(200);

  private static OptionalLong unresponsiveMillis(long millis) {
    return OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Test
  void isolatedHostRefusesImmediately() {
    // A network partition separated five hosts from the new primary and the control hosts. These
    // hosts held writes for half of their timeout before they refused them, although hosts on the
    // other side could run the writes immediately.
    ServerSearchPolicy policy = new ServerSearchPolicy(true, false, unresponsiveMillis(450));
    assertThat(policy.isSearchOver(0, TIMEOUT, OBJECTIVE)).isTrue();
    assertThat(policy.message())
        .contains("another host may run the statement; retry after 1000 ms");
  }

  @Test
  void searchContinuesWhileFailoverMayComplete() {
    ServerSearchPolicy policy = new ServerSearchPolicy(true, true, unresponsiveMillis(2_000));
    assertThat(policy.isSearchOver(TIMEOUT / 4, TIMEOUT, OBJECTIVE)).isFalse();
    assertThat(policy.isSearchOver(TIMEOUT / 2, TIMEOUT, OBJECTIVE)).isTrue();
    assertThat(policy.retryAfterMillis()).isEqualTo(400);
    assertThat(new ServerSearchPolicy(true, true, unresponsiveMillis(5_000)).retryAfterMillis())
        .isEqualTo(100);
  }

  // Guards against callers that wait for half of their timeout although no replica can be promoted.
  @Test
  void writesAreRefusedImmediatelyOnceFailoverIsStuck() {
    ServerSearchPolicy policy = new ServerSearchPolicy(true, true, unresponsiveMillis(2_400), true);
    assertThat(policy.isSearchOver(0, TIMEOUT, OBJECTIVE)).isTrue();
    assertThat(policy.retryAfterMillis()).isEqualTo(1_000);
  }

  @Test
  void searchContinuesDuringUsualFailoverAlthoughOneAttemptFailed() {
    ServerSearchPolicy policy = new ServerSearchPolicy(true, true, unresponsiveMillis(2_000), true);
    assertThat(policy.isSearchOver(0, TIMEOUT, OBJECTIVE)).isFalse();
    assertThat(
            new ServerSearchPolicy(true, true, OptionalLong.empty(), true)
                .isSearchOver(0, TIMEOUT, OBJECTIVE))
        .isFalse();
  }

  @Test
  void brokenConnectionDoesNotCountAsFailedPrimary() {
    ServerSearchPolicy policy = new ServerSearchPolicy(true, false, unresponsiveMillis(50));
    assertThat(policy.isSearchOver(0, TIMEOUT, OBJECTIVE)).isFalse();
    assertThat(policy.retryAfterMillis()).isEqualTo(50);
  }

  @Test
  void replicaReadsContinueOnIsolatedHost() {
    ServerSearchPolicy policy = new ServerSearchPolicy(false, false, unresponsiveMillis(5_000));
    assertThat(policy.isIsolated()).isFalse();
    assertThat(policy.isSearchOver(0, TIMEOUT, OBJECTIVE)).isFalse();
  }

  @Test
  void latencyObjectiveLimitsWaitForSlot() {
    // Replicas lag and all work goes to a primary with two slots. Statements waited for half of
    // their timeout, so that even those that got a slot finished late.
    ServerSearchPolicy policy = new ServerSearchPolicy(true, true, OptionalLong.empty());
    assertThat(policy.isSearchOver(OBJECTIVE - 1, TIMEOUT, OBJECTIVE)).isFalse();
    assertThat(policy.isSearchOver(OBJECTIVE, TIMEOUT, OBJECTIVE)).isTrue();
  }

  @Test
  void statementWithoutObjectiveWaitsForHalfOfItsTimeout() {
    ServerSearchPolicy policy = new ServerSearchPolicy(false, true, OptionalLong.empty());
    assertThat(policy.isSearchOver(TIMEOUT / 2 - 1, TIMEOUT, 0)).isFalse();
    assertThat(policy.isSearchOver(TIMEOUT / 2, TIMEOUT, 0)).isTrue();
  }

  @Test
  void statementIsRefusedImmediatelyWhenFailoverExceedsItsDeadline() {
    // The primary is unreachable. Statements were held for half of their timeout, although the next
    // primary could not be available before their deadline.
    ServerSearchPolicy policy = new ServerSearchPolicy(true, true, unresponsiveMillis(500));
    assertThat(policy.isSearchOver(0, TIMEOUT, OBJECTIVE)).isTrue();
    assertThat(policy.retryAfterMillis()).isEqualTo(1_900);
    long longTimeout = TimeUnit.MILLISECONDS.toNanos(3_000);
    assertThat(policy.isSearchOver(0, longTimeout, OBJECTIVE)).isFalse();
  }
}
