package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.Position;
import org.junit.jupiter.api.Test;

class PositionSamplesTest {
  private final PositionSamples samples = new PositionSamples();

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }

  private static Position at(long term, long index) {
    return new Position(term, index);
  }

  @Test
  void oldestSampleWithinStalenessLimitIsUsed() {
    samples.add(millis(100), at(1, 10));
    samples.add(millis(200), at(1, 20));
    samples.add(millis(300), at(1, 30));

    assertThat(samples.oldestWithin(millis(350), millis(200)).orElseThrow().position())
        .isEqualTo(at(1, 20));
    assertThat(samples.oldestWithin(millis(600), millis(200))).isEmpty();
  }

  @Test
  void sampleOfLaterTermReplacesAllEarlierSamples() {
    // The position of an earlier primary may cover commits that were lost with it. No server would
    // ever hold that position, and reads would be refused.
    samples.add(millis(100), at(1, 50));
    samples.add(millis(200), at(2, 40));

    assertThat(samples.oldestWithin(millis(250), millis(1_000)).orElseThrow().position())
        .isEqualTo(at(2, 40));
  }

  @Test
  void delayedSampleOfEarlierTermIsIgnored() {
    samples.add(millis(100), at(2, 40));
    samples.add(millis(200), at(1, 60));

    assertThat(samples.newest().orElseThrow().position()).isEqualTo(at(2, 40));
  }

  @Test
  void samplesAreRemovedAfterHostSuspension() {
    // The monotonic clock stops while a host is suspended for seconds, so that old samples look
    // recent and a read could exceed its staleness limit. The wall clock continues.
    samples.checkClocks(millis(100), 1_000);
    samples.add(millis(100), at(1, 10));
    samples.checkClocks(millis(110), 1_010);
    assertThat(samples.newest()).isPresent();

    samples.checkClocks(millis(120), 6_020);

    assertThat(samples.newest()).isEmpty();
  }

  @Test
  void closeSamplesAreThinnedAndTheNewestIsKept() {
    for (int i = 0; i < 10_000; i++) {
      samples.add(millis(i), at(1, i + 1));
    }

    assertThat(samples.newest().orElseThrow().position()).isEqualTo(at(1, 10_000));
    assertThat(samples.oldestWithin(millis(10_000), millis(1_000)).orElseThrow().requestedNanos())
        .isAtMost(millis(9_030));
  }
}
