package org.alderyard.proxy.drain;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * Counts the requests in flight on this proxy and refuses new requests while the proxy drains.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of this object is held.
 */
public final class RequestsInFlight {
  private static final long RETRY_AFTER_MILLIS = 100;

  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  // Guarded by this.
  private int count;
  private boolean draining;

  /**
   * Runs a request of a caller. Throws {@code DRAINING} with the outcome {@code NOT_RUN} while
   * draining.
   */
  public <T> CompletableFuture<T> run(Supplier<CompletableFuture<T>> request) {
    synchronized (this) {
      if (draining) {
        // The outcome is NOT_RUN because no processing of the request has started.
        throw AlderyardException.notRun(
            ErrorCode.DRAINING,
            "this host is shutting down; other hosts serve the pool",
            RETRY_AFTER_MILLIS);
      }
      count++;
    }
    return track(request);
  }

  /**
   * Runs a request that only this host can complete, also while draining: a request from another
   * proxy that considers this host the owner, or a request of an open transaction.
   */
  public <T> CompletableFuture<T> runEvenIfDraining(Supplier<CompletableFuture<T>> request) {
    synchronized (this) {
      count++;
    }
    return track(request);
  }

  private <T> CompletableFuture<T> track(Supplier<CompletableFuture<T>> request) {
    CompletableFuture<T> result;
    try {
      result = request.get();
    } catch (RuntimeException failure) {
      result = CompletableFuture.failedFuture(failure);
    }
    return result.whenComplete((value, failure) -> requestEnded());
  }

  private void requestEnded() {
    boolean last;
    synchronized (this) {
      count--;
      last = draining && count == 0;
    }
    if (last) {
      drained.complete(null);
    }
  }

  /** Stops accepting new requests. The future completes when no request is in flight. */
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

  /** Returns the number of requests in flight. */
  public synchronized int count() {
    return count;
  }
}
