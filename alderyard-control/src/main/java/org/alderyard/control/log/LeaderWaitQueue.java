package org.alderyard.control.log;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Futures that wait until a leader is known. The lock is the object itself; no other lock is taken
 * while the lock is held.
 */
final class LeaderWaitQueue {
  // Guarded by this.
  private final Set<CompletableFuture<Void>> pending = new LinkedHashSet<>();
  private boolean leaderKnown;

  /** Records whether a leader is known; called for each new status of the log. */
  void setLeaderKnown(boolean known) {
    List<CompletableFuture<Void>> completed = List.of();
    synchronized (this) {
      leaderKnown = known;
      if (leaderKnown && !pending.isEmpty()) {
        completed = List.copyOf(pending);
        pending.clear();
      }
    }
    completed.forEach(future -> future.complete(null));
  }

  /** Returns a future that completes when a leader is known or the timeout expires. */
  CompletableFuture<Void> awaitLeader(Duration timeout) {
    CompletableFuture<Void> future = new CompletableFuture<>();
    synchronized (this) {
      if (leaderKnown) {
        return CompletableFuture.completedFuture(null);
      }
      pending.add(future);
    }
    future.completeOnTimeout(null, timeout.toMillis(), TimeUnit.MILLISECONDS);
    return future.whenComplete((completed, failure) -> remove(future));
  }

  private synchronized void remove(CompletableFuture<Void> future) {
    pending.remove(future);
  }
}
