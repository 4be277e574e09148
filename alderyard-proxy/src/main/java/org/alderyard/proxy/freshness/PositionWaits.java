package org.alderyard.proxy.freshness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * Completes reads that wait for a replica to apply a position.
 *
 * <p>A wait relies on the periodic measurements of the servers, so it holds no connection.
 *
 * <p>Thread-safe. The object's own monitor is a leaf lock; futures are completed after it is
 * released.
 */
public final class PositionWaits {
  private final WorkerPool workers;
  // Guarded by this.
  private final Map<ServerId, List<PendingWait>> waitsByServer = new HashMap<>();

  /** Creates an empty table whose timeouts run on the given workers. */
  public PositionWaits(WorkerPool workers) {
    this.workers = Objects.requireNonNull(workers);
  }

  /**
   * Waits until a server has applied a position.
   *
   * @return a future that yields true once the server is known to have applied the position, or
   *     false after the timeout
   */
  public CompletableFuture<Boolean> await(ServerId server, Position required, Duration timeout) {
    PendingWait wait = new PendingWait(required, new CompletableFuture<>());
    synchronized (this) {
      waitsByServer.computeIfAbsent(server, id -> new ArrayList<>()).add(wait);
    }
    workers.schedule(timeout, () -> expire(server, wait));
    return wait.result;
  }

  /** Completes all waits for positions that the server has applied. */
  public void recordApplied(ServerId server, Position applied) {
    List<PendingWait> reached = new ArrayList<>();
    synchronized (this) {
      List<PendingWait> pending = waitsByServer.get(server);
      if (pending == null) {
        return;
      }
      pending.removeIf(wait -> EligibilityRule.covers(applied, wait.required) && reached.add(wait));
      if (pending.isEmpty()) {
        waitsByServer.remove(server);
      }
    }
    reached.forEach(wait -> workers.execute(() -> wait.result.complete(true)));
  }

  private void expire(ServerId server, PendingWait wait) {
    synchronized (this) {
      List<PendingWait> pending = waitsByServer.get(server);
      if (pending != null && pending.remove(wait) && pending.isEmpty()) {
        waitsByServer.remove(server);
      }
    }
    wait.result.complete(false);
  }

  private record PendingWait(Position required, CompletableFuture<Boolean> result) {}
}
