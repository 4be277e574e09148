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

/**
 * The worker threads of one process, which run short tasks immediately, after a delay or
 * periodically.
 */
public final class WorkerPool implements Executor, AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(WorkerPool.class);

  private final ScheduledThreadPoolExecutor executor;

  /** Starts a pool whose threads are named {@code name-1}, {@code name-2} and so on. */
  public WorkerPool(String name, int threads) {
    AtomicInteger nextThreadNumber = new AtomicInteger();
    executor =
        new ScheduledThreadPoolExecutor(
            threads,
            task -> {
              Thread thread = new Thread(task, name + "-" + nextThreadNumber.incrementAndGet());
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(() -> runLogged(task));
  }

  /** Runs a task once after the given delay. */
  public ScheduledFuture<?> schedule(Duration delay, Runnable task) {
    return executor.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Runs a task periodically, with the delay between the end of one run and the start of the next.
   */
  public ScheduledFuture<?> scheduleRepeatedly(Duration delay, Runnable task) {
    long nanos = delay.toNanos();
    return executor.scheduleWithFixedDelay(
        () -> runLogged(task), nanos, nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Returns a future that fails with {@code DEADLINE_EXCEEDED} if the given future does not
   * complete within the timeout.
   */
  public <T> CompletableFuture<T> withTimeout(
      CompletableFuture<T> future, Duration timeout, Outcome outcomeOnTimeout) {
    CompletableFuture<T> result = new CompletableFuture<>();
    ScheduledFuture<?> timer =
        schedule(
            timeout,
            () ->
                result.completeExceptionally(
                    new AlderyardException(
                        ErrorCode.DEADLINE_EXCEEDED,
                        outcomeOnTimeout,
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

  /** Returns the underlying scheduler, for libraries that require one. */
  public ScheduledExecutorService scheduler() {
    return executor;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  /**
   * Runs a task and logs its failure, also an {@link Error} such as a full heap. Without this, a
   * periodic task that throws is cancelled silently. A rejection after the pool was closed is
   * expected at shutdown and not logged.
   */
  private void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RejectedExecutionException rejected) {
      if (!executor.isShutdown()) {
        log.error("event=task-failed", rejected);
      }
    } catch (RuntimeException | Error failure) {
      log.error("event=task-failed", failure);
    }
  }
}
