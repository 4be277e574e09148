package org.alderyard.common.concurrent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The pool of workers of one process: it runs short tasks, at once, later or periodically. */
public final class WorkerPool implements Executor, AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(WorkerPool.class);

  private final ScheduledThreadPoolExecutor executor;

  /** Starts a pool whose threads carry the given name. */
  public WorkerPool(String name, int threads) {
    AtomicInteger number = new AtomicInteger();
    executor =
        new ScheduledThreadPoolExecutor(
            threads,
            task -> {
              Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(() -> runLogged(task));
  }

  /** Runs a task after a delay. */
  public ScheduledFuture<?> schedule(Duration delay, Runnable task) {
    return executor.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Runs a task again and again, with the delay between the end of one run and the next. */
  public ScheduledFuture<?> scheduleRepeatedly(Duration delay, Runnable task) {
    long nanos = delay.toNanos();
    return executor.scheduleWithFixedDelay(
        () -> runLogged(task), nanos, nanos, TimeUnit.NANOSECONDS);
  }

  /** Returns a future that fails with {@code DEADLINE_EXCEEDED} when the given one is late. */
  public <T> CompletableFuture<T> withTimeout(
      CompletableFuture<T> future, Duration timeout, Outcome outcomeIfLate) {
    CompletableFuture<T> result = new CompletableFuture<>();
    ScheduledFuture<?> timer =
        schedule(
            timeout,
            () ->
                result.completeExceptionally(
                    new AlderyardException(
                        ErrorCode.DEADLINE_EXCEEDED,
                        outcomeIfLate,
                        "no answer within " + timeout.toMillis() + " ms")));
    future.whenComplete(
        (value, failure) -> {
          timer.cancel(false);
          if (failure == null) {
            result.complete(value);
          } else {
            result.completeExceptionally(failure);
          }
        });
    return result;
  }

  /** Returns the scheduler below, for libraries that ask for one. */
  public ScheduledExecutorService scheduler() {
    return executor;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  /**
   * Runs a task and logs its failure: a periodic task that throws would never run again, without a
   * trace. A task that meets the closed pool is no failure: the process ends.
   */
  private void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RejectedExecutionException rejected) {
      if (!executor.isShutdown()) {
        log.error("event=task-failed", rejected);
      }
    } catch (RuntimeException failure) {
      log.error("event=task-failed", failure);
    }
  }
}
