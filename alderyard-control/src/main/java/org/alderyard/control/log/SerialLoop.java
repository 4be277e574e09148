package org.alderyard.control.log;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Runs steps one at a time, in their order, on the threads of a pool; after each run of steps it
 * calls a flush once, so that steps which came together share one sync.
 */
final class SerialLoop {
  private static final int MAX_STEPS_A_RUN = 1_000;

  private final Executor executor;
  private final Runnable flush;
  private final Consumer<RuntimeException> onFailure;
  private final Object lock = new Object();
  // Guarded by lock.
  private final Queue<Runnable> steps = new ArrayDeque<>();
  private boolean running;
  private boolean stopped;

  SerialLoop(Executor executor, Runnable flush, Consumer<RuntimeException> onFailure) {
    this.executor = executor;
    this.flush = flush;
    this.onFailure = onFailure;
  }

  /** Adds a step; returns false once the loop is stopped. */
  boolean submit(Runnable step) {
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
    executor.execute(this::run);
    return true;
  }

  /** Takes no further steps; those that were taken still run. */
  void stop() {
    synchronized (lock) {
      stopped = true;
    }
  }

  private void run() {
    try {
      int done = 0;
      for (Runnable step = next(done); step != null; step = next(done)) {
        step.run();
        done++;
      }
      flush.run();
    } catch (RuntimeException failure) {
      onFailure.accept(failure);
    }
    synchronized (lock) {
      if (steps.isEmpty()) {
        running = false;
        return;
      }
    }
    executor.execute(this::run);
  }

  private Runnable next(int done) {
    synchronized (lock) {
      return done < MAX_STEPS_A_RUN ? steps.poll() : null;
    }
  }
}
