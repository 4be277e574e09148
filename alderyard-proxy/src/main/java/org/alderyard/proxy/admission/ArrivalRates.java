package org.alderyard.proxy.admission;

import java.util.concurrent.TimeUnit;

/**
 * The recent rates of admitted statements, by the length of their weighted objective. Older
 * arrivals count for less. Reads no clock; not thread-safe.
 */
final class ArrivalRates {
  /** Time constant of the exponential decay of past arrivals. */
  private static final double MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Objectives of databases on one group that are told apart; further ones share the last. */
  private static final int MAX_CLASSES = 16;

  private final long[] objectives = new long[MAX_CLASSES];
  private final double[] weights = new double[MAX_CLASSES];
  private int classes;
  private long updatedNanos;

  void add(long objectiveNanos, long nowNanos) {
    decay(nowNanos);
    weights[classOf(objectiveNanos)]++;
  }

  private int classOf(long objectiveNanos) {
    for (int i = 0; i < classes; i++) {
      if (objectives[i] == objectiveNanos) {
        return i;
      }
    }
    if (classes < MAX_CLASSES) {
      objectives[classes] = objectiveNanos;
      classes++;
    }
    return classes - 1;
  }

  private void decay(long nowNanos) {
    if (nowNanos == updatedNanos) {
      return;
    }
    double factor = Math.exp(-Math.max(0, nowNanos - updatedNanos) / MEMORY_NANOS);
    for (int i = 0; i < classes; i++) {
      weights[i] *= factor;
    }
    updatedNanos = nowNanos;
  }

  /** Returns the rate of statements with a shorter objective, per nanosecond. */
  double perNanoBelow(long objectiveNanos, long nowNanos) {
    decay(nowNanos);
    double sum = 0;
    for (int i = 0; i < classes; i++) {
      sum += objectives[i] < objectiveNanos ? weights[i] : 0;
    }
    return sum / MEMORY_NANOS;
  }

  /** Returns the rate of all statements, per nanosecond. */
  double perNano(long nowNanos) {
    return perNanoBelow(Long.MAX_VALUE, nowNanos);
  }
}
