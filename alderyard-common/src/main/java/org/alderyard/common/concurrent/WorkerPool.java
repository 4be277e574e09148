package org.alderyard.common.concurrent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The worker threads of one process, which run short tasks immediately, after a delay or
 * periodically.
 *
 * <p>A pool of one thread runs all tasks on it, one after the other. A pool of several threads runs
 * delayed and periodic tasks on a further thread: threads that share a queue with delayed tasks
 * take turns to wait for the next one, and each task that arrives wakes two of them.
 */
public final class WorkerPool implements Executor, AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(WorkerPool.class);

  private final ThreadPoolExecutor executor;
  private final ScheduledThreadPoolExecutor timers;
  private final MonotonicClock clock = MonotonicClock.system();
  private final long originNanos = clock.nowNanos();

  /**
   * Starts a pool whose threads are named {@code name-1}, {@code name-2} and so on; the thread for
   * delayed tasks of a pool of several threads is named {@code name-timer-1}.
   */
  public WorkerPool(String name, int threads) {
    boolean shared = threads == 1;
    timers = new ScheduledThreadPoolExecutor(1, threadFactory(shared ? name : name + "-timer"));
    timers.setRemoveOnCancelPolicy(true);
    executor =
        shared
            ? timers
            : new ThreadPoolExecutor(
                threads,
                threads,
                0,
                TimeUnit.NANOSECONDS,
                new LinkedBlockingQueue<>(),
                threadFactory(name));
  }

  private static ThreadFactory threadFactory(String name) {
    AtomicInteger nextThreadNumber = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + nextThreadNumber.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(() -> runLogged(task));
  }

  /** Runs a task once after the given delay. */
  public ScheduledFuture<?> schedule(Duration delay, Runnable task) {
    return timers.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Runs a task periodically, with the delay between the end of one run and the start of the next,
   * less than {@link RepeatedTask one slot} earlier.
   */
  public RepeatedTask scheduleRepeatedly(Duration delay, Runnable task) {
    RepeatedTask repeated =
        new RepeatedTask(this::schedule, clock, originNanos, delay, () -> runLogged(task));
    repeated.scheduleNext();
    return repeated;
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

  @Override
  public void close() {
    timers.shutdownNow();
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
      if (!timers.isShutdown()) {
        log.error("event=task-failed", rejected);
      }
    } catch (RuntimeException | Error failure) {
      log.error("event=task-failed", failure);
    }
  }
}
