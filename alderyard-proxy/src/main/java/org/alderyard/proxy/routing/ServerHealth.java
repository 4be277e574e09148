package org.alderyard.proxy.routing;

import java.util.concurrent.TimeUnit;

/**
 * Ejects a server that fails repeatedly and readmits it with a slow start. Not thread-safe.
 *
 * <p>A server is ejected after {@link #FAILURES_TO_EJECT} consecutive failures. The ejection time
 * doubles with each further ejection, up to a limit. After an ejection, the weight of the server
 * grows from {@link #INITIAL_WEIGHT} to 1, because the server may have cold caches and all proxies
 * would otherwise send their reads to the idle server at the same time.
 */
final class ServerHealth {
  static final int FAILURES_TO_EJECT = 5;
  static final double INITIAL_WEIGHT = 0.1;
  static final long BASE_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(2);
  static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final int MAX_DOUBLINGS = 5;

  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilNanos;
  private long slowStartBeginNanos;

  ServerHealth(long nowNanos) {
    ejectedUntilNanos = nowNanos;
    slowStartBeginNanos = nowNanos;
  }

  void recordSuccess(long nowNanos) {
    consecutiveFailures = 0;
    boolean steady = nowNanos - slowStartBeginNanos > 2 * SLOW_START_NANOS;
    if (steady) {
      ejections = 0;
    }
  }

  /** Records a failure. Returns whether the server should be ejected. */
  boolean recordFailure(long nowNanos) {
    consecutiveFailures++;
    return consecutiveFailures >= FAILURES_TO_EJECT && !ejected(nowNanos);
  }

  void eject(long nowNanos) {
    int doublings = Math.min(ejections, MAX_DOUBLINGS);
    ejectedUntilNanos = nowNanos + (BASE_EJECTION_NANOS << doublings);
    slowStartBeginNanos = ejectedUntilNanos;
    ejections++;
    consecutiveFailures = 0;
  }

  boolean ejected(long nowNanos) {
    return nowNanos - ejectedUntilNanos < 0;
  }

  double weight(long nowNanos) {
    long elapsedNanos = nowNanos - slowStartBeginNanos;
    if (elapsedNanos >= SLOW_START_NANOS) {
      return 1.0;
    }
    double progress = Math.max(0, elapsedNanos) / (double) SLOW_START_NANOS;
    return INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * progress;
  }
}
