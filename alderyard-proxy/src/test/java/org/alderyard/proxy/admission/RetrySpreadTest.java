package org.alderyard.proxy.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RetrySpreadTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final RetrySpread spread = new RetrySpread();

  /** Load: 40 callers are refused at one moment. Guards against their common return. */
  @Test
  void callersRefusedAtOnceDoNotReturnTogether() {
    List<Long> delays = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      delays.add(spread.nextDelayMillis(0, 600 * MILLI, 100 * MILLI, 2 * MILLI));
    }

    assertThat(new HashSet<>(delays)).hasSize(40);
    assertThat(delays.stream().allMatch(delay -> delay >= 600 && delay < 700)).isTrue();
  }

  /** Guards against places that move away when more callers are refused than fit in the span. */
  @Test
  void delayStaysWithinSpan() {
    for (int i = 0; i < 1_000; i++) {
      assertThat(spread.nextDelayMillis(i * 100_000L, 30 * MILLI, 50 * MILLI, 2 * MILLI))
          .isIn(com.google.common.collect.Range.closed(20L, 80L));
    }
  }
}
