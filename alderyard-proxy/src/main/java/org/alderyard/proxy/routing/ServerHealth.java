package org.alderyard.proxy.routing;

import java.util.concurrent.TimeUnit;

/**
 * Whether one server keeps failing, and how it comes back. Not safe for several threads.
 *
 * <p>After {@link #FAILURES_TO_EJECT} failures in a row the server is ejected, for longer each time
 * it happens again. Afterwards its weight grows from {@link #FIRST_WEIGHT} to 1: a server that
 * comes back has cold caches, and all proxies turn to the idle newcomer at once.
 */
final class ServerHealth {
  static final int FAILURES_TO_EJECT = 5;
  static final double FIRST_WEIGHT = 0.1;
  static final long BASE_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(2);
  static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final int MAX_DOUBLINGS = 5;

  private int failuresInRow;
  private int ejections;
  private long ejectedUntilNanos;
  private long startedNanos;

  ServerHealth(long nowNanos) {
    ejectedUntilNanos = nowNanos;
    startedNanos = nowNanos;
  }

  void succeeded(long nowNanos) {
    failuresInRow = 0;
    boolean steady = nowNanos - startedNanos > 2 * SLOW_START_NANOS;
    if (steady) {
      ejections = 0;
    }
  }

  /** Takes in a failure; returns whether the server should be ejected now. */
  boolean failed(long nowNanos) {
    failuresInRow++;
    return failuresInRow >= FAILURES_TO_EJECT && !ejected(nowNanos);
  }

  void eject(long nowNanos) {
    int doublings = Math.min(ejections, MAX_DOUBLINGS);
    ejectedUntilNanos = nowNanos + (BASE_EJECTION_NANOS << doublings);
    startedNanos = ejectedUntilNanos;
    ejections++;
    failuresInRow = 0;
  }

  boolean ejected(long nowNanos) {
    return nowNanos - ejectedUntilNanos < 0;
  }

  double weight(long nowNanos) {
    long since = nowNanos - startedNanos;
    if (since >= SLOW_START_NANOS) {
      return 1.0;
    }
    double grown = Math.max(0, since) / (double) SLOW_START_NANOS;
    return FIRST_WEIGHT + (1.0 - FIRST_WEIGHT) * grown;
  }
}
