package org.alderyard.control.store;

import java.io.IOException;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Repeats writes that the disk refuses, as a full one does, so that the host goes on as a proxy.
 *
 * <p>The thread of the log waits meanwhile, as it does for a disk that hangs, and the other control
 * hosts go on without this one. A failed sync of the log is not repeated, see {@link ReplicaStore}.
 */
final class WriteRetry {
  /** Fails at the first refused write. */
  static final WriteRetry NONE = new WriteRetry(0);

  private static final Logger log = LoggerFactory.getLogger(WriteRetry.class);
  // The messages of other hosts queue up in memory during the wait.
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final long INTERVAL_MILLIS = 100;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long maxAttempts;
  // Set by any thread.
  private volatile boolean abandoned;

  private WriteRetry(long maxRetries) {
    maxAttempts = maxRetries + 1;
  }

  /** Creates a policy that repeats a write for a minute. */
  static WriteRetry forMinute() {
    return new WriteRetry(MAX_WAIT_MILLIS / INTERVAL_MILLIS);
  }

  /** An operation on a file. */
  @FunctionalInterface
  interface Step {
    /** Runs the operation. */
    void run() throws IOException;
  }

  /** Makes writes that wait, and all later ones, fail as soon as they are refused. Thread-safe. */
  void abandon() {
    abandoned = true;
  }

  /**
   * Runs a write until it succeeds.
   *
   * @param undo removes what a failed write may have left; it is repeated too
   * @throws IOException the last failure, once the time is over or the writes were abandoned
   */
  void run(Step write, Step undo) throws IOException {
    Step next = write;
    for (long attempt = 1; ; attempt++) {
      try {
        next.run();
        if (attempt > 1) {
          log.warn("event=write-accepted attempts={}", attempt);
        }
        return;
      } catch (IOException refused) {
        if (attempt >= maxAttempts || abandoned || Thread.currentThread().isInterrupted()) {
          throw refused;
        }
        if (attempt == 1) {
          log.warn("event=write-refused action=RETRY reason=\"{}\"", refused.getMessage());
        }
        next =
            () -> {
              undo.run();
              write.run();
            };
        LockSupport.parkNanos(INTERVAL_MILLIS * NANOS_PER_MILLI);
      }
    }
  }
}
