package org.alderyard.common.log;

import java.util.Objects;
import org.alderyard.common.error.AlderyardException;
import org.slf4j.Logger;

/**
 * Logs when something that this process depends on is lost and when it is back, and nothing in
 * between: one line for each, however often it was tried.
 *
 * <p>Lock: the object itself, a leaf.
 */
public final class DependencyLog {
  private final Logger log;
  private final String dependency;
  // Guarded by this.
  private long failures;

  /** Logs through the given logger, under the given name of the dependency. */
  public DependencyLog(Logger log, String dependency) {
    this.log = Objects.requireNonNull(log);
    this.dependency = Objects.requireNonNull(dependency);
  }

  /**
   * A try failed; the line has the whole story of the first one, which hosts were tried and why.
   */
  public void failed(AlderyardException failure) {
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

  /** A try worked. */
  public void worked() {
    long before;
    synchronized (this) {
      before = failures;
      failures = 0;
    }
    if (before > 0) {
      log.info("event=dependency-regained dependency={} failures={}", dependency, before);
    }
  }
}
