package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.common.time.HostTime;
import org.junit.jupiter.api.Test;

class HostTimeTest {
  private final ManualTimer timer = new ManualTimer();

  private HostTime now() {
    return HostTime.now(timer.clock, timer.wallClock);
  }

  @Test
  void runningHostIsNotSuspended() {
    HostTime before = now();
    timer.advance(5_000);

    assertThat(now().suspendedMillisSince(before)).isEqualTo(0);
  }

  @Test
  void suspensionIsTheTimeThatTheMonotonicClockMisses() {
    HostTime before = now();
    timer.advance(750);
    timer.stepWallClock(10_000);

    assertThat(now().suspendedMillisSince(before)).isEqualTo(10_000);
  }

  @Test
  void clockSetBackIsNegative() {
    HostTime before = now();
    timer.advance(750);
    timer.stepWallClock(-3_600_000);

    assertThat(now().suspendedMillisSince(before)).isEqualTo(-3_600_000);
  }

  @Test
  void elapsedTimeCountsSuspensionAndIgnoresClockThatIsSetBack() {
    HostTime before = now();
    timer.advance(750);
    timer.stepWallClock(10_000);
    assertThat(now().elapsedMillisSince(before)).isEqualTo(10_750);

    timer.stepWallClock(-60_000);
    assertThat(now().elapsedMillisSince(before)).isEqualTo(750);
  }
}
