package org.alderyard.daemon;

import java.time.Duration;
import java.util.function.LongConsumer;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.MonotonicClock;
import org.xnio.XnioWorker;

/**
 * Measures how long a task waits for an I/O thread.
 *
 * <p>Requests that no thread has read yet are in no other metric: they wait in their sockets.
 */
final class ThreadDelayProbe {
  private static final Duration INTERVAL = Duration.ofMillis(100);

  private final MonotonicClock clock;
  private final XnioWorker ioWorker;
  private final LongConsumer delays;

  /** Creates a probe that passes each measured delay, in nanoseconds, to the consumer. */
  ThreadDelayProbe(MonotonicClock clock, XnioWorker ioWorker, LongConsumer delays) {
    this.clock = clock;
    this.ioWorker = ioWorker;
    this.delays = delays;
  }

  void start(WorkerPool workers) {
    workers.scheduleRepeatedly(INTERVAL, this::measure);
  }

  private void measure() {
    long submittedNanos = clock.nowNanos();
    ioWorker.getIoThread().execute(() -> delays.accept(clock.nowNanos() - submittedNanos));
  }
}
