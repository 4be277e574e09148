package org.alderyard.control.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;

/** The hosts that wait for a view newer than theirs. */
public final class ViewWaiters {
  private final WorkerPool workers;
  private final Object lock = new Object();
  // Guarded by lock.
  private View current = View.EMPTY;
  private List<CompletableFuture<View>> waiting = new ArrayList<>();

  /** Creates a table without waiters. */
  public ViewWaiters(WorkerPool workers) {
    this.workers = workers;
  }

  /** Takes a new view and answers all who wait; called in the order of versions. */
  public void publish(View view) {
    List<CompletableFuture<View>> ready;
    synchronized (lock) {
      current = view;
      ready = waiting;
      waiting = new ArrayList<>();
    }
    ready.forEach(waiter -> workers.execute(() -> waiter.complete(view)));
  }

  /** Returns a view newer than the given version, or the current one when the wait is over. */
  public CompletableFuture<View> newerThan(ViewVersion version, Duration wait) {
    CompletableFuture<View> waiter = new CompletableFuture<>();
    synchronized (lock) {
      if (current.version().compareTo(version) > 0) {
        return CompletableFuture.completedFuture(current);
      }
      waiting.add(waiter);
    }
    var timer = workers.schedule(wait, () -> giveUp(waiter));
    waiter.whenComplete((view, failure) -> timer.cancel(false));
    return waiter;
  }

  private void giveUp(CompletableFuture<View> waiter) {
    View view;
    synchronized (lock) {
      waiting.remove(waiter);
      view = current;
    }
    waiter.complete(view);
  }
}
