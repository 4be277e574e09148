package org.alderyard.proxy.drain;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * Counts the requests that this proxy has taken, and ends the taking of new ones.
 *
 * <p>Thread-safe; its own lock is a leaf.
 */
public final class RequestsInFlight {
  private static final long RETRY_AFTER_MILLIS = 100;

  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  // Guarded by this.
  private int count;
  private boolean draining;

  /** Runs a caller's request; while draining it is refused as {@code NOT_RUN}. */
  public <T> CompletableFuture<T> run(Supplier<CompletableFuture<T>> request) {
    synchronized (this) {
      if (draining) {
        // NOT_RUN holds: the request was looked at by nobody but this counter.
        throw AlderyardException.notRun(
            ErrorCode.DRAINING,
            "this host is shutting down; others serve the pool",
            RETRY_AFTER_MILLIS);
      }
      count++;
    }
    return counted(request);
  }

  /**
   * Runs a request that must end here, also while draining: the work of another proxy that holds
   * this one for the owner, or the rest of an open transaction.
   */
  public <T> CompletableFuture<T> runToTheEnd(Supplier<CompletableFuture<T>> request) {
    synchronized (this) {
      count++;
    }
    return counted(request);
  }

  private <T> CompletableFuture<T> counted(Supplier<CompletableFuture<T>> request) {
    CompletableFuture<T> result;
    try {
      result = request.get();
    } catch (RuntimeException failure) {
      result = CompletableFuture.failedFuture(failure);
    }
    return result.whenComplete((value, failure) -> ended());
  }

  private void ended() {
    boolean last;
    synchronized (this) {
      count--;
      last = draining && count == 0;
    }
    if (last) {
      drained.complete(null);
    }
  }

  /** Ends the taking of new requests; the future is done once none is in flight. */
  public CompletableFuture<Void> drain() {
    boolean idle;
    synchronized (this) {
      draining = true;
      idle = count == 0;
    }
    if (idle) {
      drained.complete(null);
    }
    return drained;
  }

  /** Returns whether new requests are refused. */
  public synchronized boolean draining() {
    return draining;
  }

  /** Returns how many requests are in flight. */
  public synchronized int count() {
    return count;
  }
}
