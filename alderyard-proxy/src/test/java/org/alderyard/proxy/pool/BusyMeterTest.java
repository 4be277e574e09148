package org.alderyard.proxy.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The mean over time of the connections that have work. */
class BusyMeterTest {
  private final AtomicLong nowNanos = new AtomicLong();
  private final BusyMeter meter = new BusyMeter(nowNanos::get);

  @Test
  void meanIsWeighedByTime() {
    meter.changed(4);
    nowNanos.addAndGet(250);
    meter.changed(0);
    nowNanos.addAndGet(750);

    assertThat(meter.takeMean()).isWithin(1e-9).of(1.0);
  }

  @Test
  void eachReadingBeginsAnew() {
    meter.changed(4);
    nowNanos.addAndGet(100);
    meter.takeMean();
    meter.changed(1);
    nowNanos.addAndGet(100);

    assertThat(meter.takeMean()).isWithin(1e-9).of(1.0);
  }

  @Test
  void readingWithoutTimeGivesTheNumberOfNow() {
    meter.changed(3);

    assertThat(meter.takeMean()).isWithin(1e-9).of(3.0);
  }
}
