package org.alderyard.proxy.write;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ServerState;

/** Limits when a write may be sent to its primary. */
@FunctionalInterface
public interface WriteAdmission {
  /** Admits every write immediately. */
  WriteAdmission OPEN =
      (request, primary, deadlineNanos) -> CompletableFuture.completedFuture(new UnlimitedPermit());

  /**
   * Requests a permit to send a write.
   *
   * @return a permit that must be released exactly once; fails as {@code NOT_RUN} as soon as it is
   *     known that the write will not be sent
   */
  CompletableFuture<Permit> acquire(WriteRequest request, ServerState primary, long deadlineNanos);

  /** The right to send one write; must be released exactly once. */
  interface Permit {

    /** Releases the permit of a sent write; whether the server answered indicates its load. */
    void release(boolean answered);

    /** Releases the permit of a write that was not sent. */
    void releaseUnsent();
  }

  /** A permit without a limit. */
  record UnlimitedPermit() implements Permit {
    @Override
    public void release(boolean answered) {
      // No limiter counts this permit.
    }

    @Override
    public void releaseUnsent() {
      // No limiter counts this permit.
    }
  }
}
