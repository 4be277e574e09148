package org.alderyard.proxy.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A thread that serves rounds of ready connections, as an I/O thread does: all that are ready are
 * served, then the timers run. Requests come evenly; a cold host needs 3 ms for each, and 0.05 ms
 * for a refusal.
 */
class LoopAdmissionTest {
  private static final long REQUEST_NANOS = TimeUnit.MICROSECONDS.toNanos(3_000);
  private static final long REFUSAL_NANOS = TimeUnit.MICROSECONDS.toNanos(50);
  private static final int SECONDS = 8;

  private long longestRoundMillis;
  private int served;
  private int refused;

  private void play(int perSecond, boolean limited) {
    long nowNanos = 0;
    long taken = 0;
    LoopAdmission admission = new LoopAdmission(() -> {});
    while (nowNanos < TimeUnit.SECONDS.toNanos(SECONDS)) {
      final long roundNanos = nowNanos;
      long ready = nowNanos / 1_000_000 * perSecond / 1_000;
      for (; taken < ready; taken++) {
        boolean admitted = !limited || admission.admits(nowNanos);
        nowNanos += admitted ? REQUEST_NANOS : REFUSAL_NANOS;
        served += admitted ? 1 : 0;
        refused += admitted ? 0 : 1;
      }
      longestRoundMillis =
          Math.max(longestRoundMillis, TimeUnit.NANOSECONDS.toMillis(nowNanos - roundNanos));
      nowNanos += TimeUnit.MILLISECONDS.toNanos(1);
      admission.roundEnded();
    }
  }

  @Test
  void timersOfColdHostRunSoonUnderSixTimesItsLoad() {
    // A host was 11 s old when 2,000 requests a second came. Announcements and probes waited
    // behind them for seconds, the leases of its servers ran out, and it served next to nobody.
    play(2_000, true);

    assertThat(longestRoundMillis).isAtMost(100);
    assertThat(served).isAtLeast(SECONDS * 250);
  }

  @Test
  void withoutLimitRoundsGrowWithoutEnd() {
    play(2_000, false);

    assertThat(longestRoundMillis).isAtLeast(2_000);
  }

  @Test
  void nothingIsRefusedBelowTheLoadThatTheHostCanTake() {
    play(200, true);

    assertThat(refused).isEqualTo(0);
  }
}
