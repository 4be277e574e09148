package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class TimeWeightedMeanTest {
  private final AtomicLong nowNanos = new AtomicLong();
  private final TimeWeightedMean mean = new TimeWeightedMean(nowNanos::get);

  @Test
  void valuesAreWeightedByTime() {
    mean.update(4);
    nowNanos.addAndGet(250);
    mean.update(0);
    nowNanos.addAndGet(750);

    assertThat(mean.takeMean()).isWithin(1e-9).of(1.0);
  }

  @Test
  void takeMeanStartsNewWindow() {
    mean.update(4);
    nowNanos.addAndGet(100);
    mean.takeMean();
    mean.update(1);
    nowNanos.addAndGet(100);

    assertThat(mean.takeMean()).isWithin(1e-9).of(1.0);
  }

  @Test
  void meanOfEmptyWindowIsTheCurrentValue() {
    mean.update(3);

    assertThat(mean.takeMean()).isWithin(1e-9).of(3.0);
  }
}
