package org.alderyard.common.log;

import java.util.Objects;
import org.alderyard.common.error.AlderyardException;
import org.slf4j.Logger;

/**
 * Logs the loss and the recovery of a dependency of this process, with one line each, however many
 * attempts fail in between.
 *
 * <p>Locking: guarded by the object itself; no other lock is acquired while it is held.
 */
public final class DependencyLog {
  private final Logger log;
  private final String dependency;
  // Guarded by this.
  private long failures;

  /** Creates a log for the dependency with the given name. */
  public DependencyLog(Logger log, String dependency) {
    this.log = Objects.requireNonNull(log);
    this.dependency = Objects.requireNonNull(dependency);
  }

  /**
   * Records a failed attempt. Only the first failure is logged, with its full message: the hosts
   * that were tried and the reason of each failure.
   */
  public void recordFailure(AlderyardException failure) {
    boolean first;
    synchronized (this) {
      first = failures == 0;
      failures++;
    }
    if (first) {
      log.warn(
          "event=dependency-lost dependency={} reason={} detail=\"{}\"",
          dependency,
          failure.code(),
          failure.getMessage());
    }
  }

  /** Records a successful attempt and logs the recovery if attempts had failed before. */
  public void recordSuccess() {
    long previousFailures;
    synchronized (this) {
      previousFailures = failures;
      failures = 0;
    }
    if (previousFailures > 0) {
      log.info("event=dependency-regained dependency={} failures={}", dependency, previousFailures);
    }
  }
}
