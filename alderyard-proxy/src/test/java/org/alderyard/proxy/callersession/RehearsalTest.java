package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/**
 * Pattern: all hosts return at once and so do all callers. A host whose code had not run yet took
 * 0.2 s for the first statements, and those that waited behind them missed their objective.
 */
class RehearsalTest {

  @Test
  void roundsEndOnceThereIsWorkOfCallers() throws Exception {
    CountDownLatch several = new CountDownLatch(5);
    AtomicInteger asked = new AtomicInteger();
    try (WorkerPool workers = new WorkerPool("test", 2)) {
      Rehearsal.start(
          workers,
          MonotonicClock.system(),
          InstantSource.system(),
          () -> {
            asked.incrementAndGet();
            several.countDown();
            return several.getCount() == 0;
          });
      assertThat(several.await(20, TimeUnit.SECONDS)).isTrue();
      CountDownLatch behind = new CountDownLatch(1);
      workers.execute(behind::countDown);
      assertThat(behind.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(asked.get()).isEqualTo(5);
  }
}
