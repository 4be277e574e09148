package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class HolderTrackerTest {
  private final HolderTracker tracker = new HolderTracker(1);

  private int startUntilLimit() {
    int started = 0;
    while (!tracker.atInFlightLimit()) {
      tracker.started();
      started++;
    }
    return started;
  }

  @Test
  void initialInFlightLimitIsSmall() {
    assertThat(startUntilLimit()).isEqualTo(4);
  }

  @Test
  void inFlightLimitFallsToOneAfterFailures() {
    for (int i = 0; i < 10; i++) {
      tracker.failed(i);
    }
    assertThat(startUntilLimit()).isEqualTo(1);
  }

  @Test
  void inFlightLimitGrowsToMaximumWithReplies() {
    for (int i = 0; i < 10_000; i++) {
      tracker.answered(i, 1_000_000, true);
    }
    assertThat(startUntilLimit()).isEqualTo(64);
  }
}
