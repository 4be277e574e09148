package org.alderyard.control.log;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Runs steps sequentially, in the order of submission, on a shared executor. A flush callback runs
 * once after each batch of steps, so that the steps of a batch share one disk sync.
 *
 * <p>A step that fails, also with an {@link Error} such as a full heap, is reported and does not
 * keep later steps from running.
 */
final class SerialLoop {
  private static final int MAX_STEPS_PER_BATCH = 1_000;

  private final Executor executor;
  private final Runnable flush;
  private final Consumer<Throwable> onFailure;
  private final Object lock = new Object();
  // Guarded by lock.
  private final Queue<Runnable> steps = new ArrayDeque<>();
  private boolean running;
  private boolean stopped;

  SerialLoop(Executor executor, Runnable flush, Consumer<Throwable> onFailure) {
    this.executor = executor;
    this.flush = flush;
    this.onFailure = onFailure;
  }

  /** Queues a step; returns false if the loop has been stopped. Thread-safe. */
  boolean submit(Runnable step) {
    return enqueue(step, this::scheduleBatch);
  }

  /**
   * Queues a step from a task of the executor and, unless a batch is running, runs it before this
   * call returns. Saves the wake-up of a second thread. Returns false if the loop has been stopped.
   */
  boolean submitOnExecutor(Runnable step) {
    return enqueue(step, this::runBatch);
  }

  private boolean enqueue(Runnable step, Runnable startBatch) {
    synchronized (lock) {
      if (stopped) {
        return false;
      }
      steps.add(step);
      if (running) {
        return true;
      }
      running = true;
    }
    startBatch.run();
    return true;
  }

  /** Schedules a batch; if that fails, the next submitted step schedules it. */
  private void scheduleBatch() {
    try {
      executor.execute(this::runBatch);
    } catch (RuntimeException | Error failure) {
      synchronized (lock) {
        running = false;
      }
      throw failure;
    }
  }

  /** Rejects further steps; steps already queued still run. */
  void stop() {
    synchronized (lock) {
      stopped = true;
    }
  }

  private void runBatch() {
    try {
      int completedSteps = 0;
      for (Runnable step = pollStep(completedSteps);
          step != null;
          step = pollStep(completedSteps)) {
        step.run();
        completedSteps++;
      }
      flush.run();
    } catch (RuntimeException | Error failure) {
      onFailure.accept(failure);
    } finally {
      endBatch();
    }
  }

  private void endBatch() {
    synchronized (lock) {
      if (steps.isEmpty()) {
        running = false;
        return;
      }
    }
    scheduleBatch();
  }

  private Runnable pollStep(int completedSteps) {
    synchronized (lock) {
      return completedSteps < MAX_STEPS_PER_BATCH ? steps.poll() : null;
    }
  }
}
