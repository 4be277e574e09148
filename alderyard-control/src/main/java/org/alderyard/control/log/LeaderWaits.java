package org.alderyard.control.log;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Those who wait until somebody is known to lead. Lock: the object itself, a leaf. */
final class LeaderWaits {
  // Guarded by this.
  private final Set<CompletableFuture<Void>> waiting = new LinkedHashSet<>();
  private boolean known;

  /** Takes in whether somebody leads; called for each status of the log. */
  void update(boolean leaderKnown) {
    List<CompletableFuture<Void>> done = List.of();
    synchronized (this) {
      known = leaderKnown;
      if (known && !waiting.isEmpty()) {
        done = List.copyOf(waiting);
        waiting.clear();
      }
    }
    done.forEach(waiter -> waiter.complete(null));
  }

  /** Returns a future that is done when somebody leads, or when the time is over. */
  CompletableFuture<Void> await(Duration limit) {
    CompletableFuture<Void> waiter = new CompletableFuture<>();
    synchronized (this) {
      if (known) {
        return CompletableFuture.completedFuture(null);
      }
      waiting.add(waiter);
    }
    waiter.completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS);
    return waiter.whenComplete((done, failure) -> remove(waiter));
  }

  private synchronized void remove(CompletableFuture<Void> waiter) {
    waiting.remove(waiter);
  }
}
