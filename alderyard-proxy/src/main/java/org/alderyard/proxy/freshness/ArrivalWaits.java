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
 * Reads that wait until a replica has applied a position.
 *
 * <p>They wait for the measurements that are taken anyway, so that a wait costs no connection.
 * Lock: the object itself, a leaf; futures are completed after it is released.
 */
public final class ArrivalWaits {
  private final WorkerPool workers;
  // Guarded by this.
  private final Map<ServerId, List<Wait>> waits = new HashMap<>();

  /** Creates an empty table whose time limits run on the given workers. */
  public ArrivalWaits(WorkerPool workers) {
    this.workers = Objects.requireNonNull(workers);
  }

  /**
   * Waits for a position.
   *
   * @return true once the server is known to have applied it, false when the budget is over
   */
  public CompletableFuture<Boolean> await(ServerId server, Position needed, Duration budget) {
    Wait wait = new Wait(needed, new CompletableFuture<>());
    synchronized (this) {
      waits.computeIfAbsent(server, id -> new ArrayList<>()).add(wait);
    }
    workers.schedule(budget, () -> end(server, wait));
    return wait.result;
  }

  /** Ends the waits for positions that the server has applied. */
  public void applied(ServerId server, Position applied) {
    List<Wait> arrived = new ArrayList<>();
    synchronized (this) {
      List<Wait> waiting = waits.get(server);
      if (waiting == null) {
        return;
      }
      waiting.removeIf(wait -> EligibilityRule.covers(applied, wait.needed) && arrived.add(wait));
      if (waiting.isEmpty()) {
        waits.remove(server);
      }
    }
    arrived.forEach(wait -> workers.execute(() -> wait.result.complete(true)));
  }

  private void end(ServerId server, Wait wait) {
    synchronized (this) {
      List<Wait> waiting = waits.get(server);
      if (waiting != null && waiting.remove(wait) && waiting.isEmpty()) {
        waits.remove(server);
      }
    }
    wait.result.complete(false);
  }

  private record Wait(Position needed, CompletableFuture<Boolean> result) {}
}
