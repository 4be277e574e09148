package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ServerTrackerTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ServerTracker tracker = new ServerTracker(1);

  /** Guards against a score that is not a number, as the monotonic clock may be negative. */
  @Test
  void serverWithoutFailuresHasNoneAtAnyTime() {
    assertThat(tracker.recentFailures(Long.MIN_VALUE)).isEqualTo(0.0);
    assertThat(tracker.recentFailures(Long.MAX_VALUE)).isEqualTo(0.0);
  }

  /** Guards against a server that is avoided for long after it has failed. */
  @Test
  void halfOfFailuresIsForgottenInTwoSeconds() {
    long failedNanos = -100 * SECOND_NANOS;
    for (int i = 0; i < 10; i++) {
      tracker.recordFailed(failedNanos);
    }
    assertThat(tracker.recentFailures(failedNanos)).isEqualTo(3.0);
    assertThat(tracker.recentFailures(failedNanos + 2 * SECOND_NANOS)).isEqualTo(1.5);
    assertThat(tracker.recentFailures(failedNanos + 20 * SECOND_NANOS)).isLessThan(0.01);
  }
}
