package org.alderyard.proxy.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PrimaryOutageTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final PrimaryOutage outage = new PrimaryOutage();

  private long remainingMillis(long unresponsiveMillis, long nowMillis) {
    return outage.remainingNanos(unresponsiveMillis * MILLI, nowMillis * MILLI) / MILLI;
  }

  /** Guards against refusals for a single connection that broke. */
  @Test
  void shortSilenceIsNoOutage() {
    outage.recordPresent(0);

    assertThat(remainingMillis(300, 1_000)).isEqualTo(0);
    assertThat(remainingMillis(500, 1_200)).isEqualTo(1_900);
  }

  /** Guards against an estimate that stays at that of the slowest failover. */
  @Test
  void observedFailoversShortenTheEstimate() {
    for (int i = 0; i < 6; i++) {
      long start = i * 10_000L;
      outage.recordPresent(start * MILLI);
      remainingMillis(0, start + 1_000);
      outage.recordPresent((start + 1_600) * MILLI);
    }

    assertThat(remainingMillis(500, 100_500))
        .isIn(com.google.common.collect.Range.closed(50L, 250L));
  }

  /** Guards against an estimate of zero for an outage that does not end. */
  @Test
  void overdueOutageIsExpectedToLast() {
    outage.recordPresent(0);
    remainingMillis(500, 1_000);

    assertThat(remainingMillis(20_000, 20_500)).isAtLeast(4_000);
  }

  /** Guards against refusals while the host asks servers for a primary that has just changed. */
  @Test
  void searchForUnknownPrimaryIsShort() {
    assertThat(outage.remainingNanos(Long.MAX_VALUE, 0) / MILLI).isEqualTo(100);
    assertThat(outage.remainingNanos(Long.MAX_VALUE, 300 * MILLI) / MILLI).isEqualTo(300);
  }
}
