package org.alderyard.common.concurrent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests periodic tasks that fail. */
class WorkerPoolTest {
  private static final Duration INTERVAL = Duration.ofMillis(1);
  private static final long TIMEOUT_SECONDS = 20;

  /** Guards against a periodic task that never runs again once the heap was full. */
  @Test
  void periodicTaskRunsAgainAfterError() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(2);
    try (WorkerPool workers = new WorkerPool("test", 1)) {
      workers.scheduleRepeatedly(
          INTERVAL,
          () -> {
            runs.countDown();
            throw new Error("full heap");
          });

      assertThat(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }
}
