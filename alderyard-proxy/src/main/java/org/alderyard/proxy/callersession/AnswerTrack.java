package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;

/**
 * How something that is asked, a backend server or another host, has answered this host of late.
 * Not safe for several threads.
 */
class AnswerTrack {
  /** The weight of a new latency in the average: about the last ten answers count. */
  private static final double LATENCY_WEIGHT = 0.1;

  /** One that failed is left alone this long at first, and twice as long each time. */
  private static final long FIRST_PAUSE_MILLIS = 200;

  private static final long MAX_PAUSE_MILLIS = 1_600;

  private int inFlight;
  private double latencyMillis;
  private int failures;
  private long firstFailureNanos;
  private long pausedUntilNanos;
  private boolean paused;
  private long lastAnswerNanos;
  private boolean answered;

  /**
   * Creates a track of something that was not asked yet.
   *
   * @param firstLatencyMillis what an answer is believed to take until one came
   */
  AnswerTrack(double firstLatencyMillis) {
    this.latencyMillis = firstLatencyMillis;
  }

  void started() {
    inFlight++;
  }

  /**
   * An answer came.
   *
   * @param ran whether its time tells how fast work is done there
   */
  void answered(long nowNanos, long tookNanos, boolean ran) {
    failures = 0;
    paused = false;
    answered = true;
    lastAnswerNanos = nowNanos;
    if (ran) {
      double millis = tookNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
      latencyMillis += LATENCY_WEIGHT * (millis - latencyMillis);
    }
  }

  void ended() {
    inFlight--;
  }

  /** A connection could not be opened, broke, or gave no answer in time. */
  void failed(long nowNanos) {
    if (failures == 0) {
      firstFailureNanos = nowNanos;
    }
    if (paused && nowNanos - pausedUntilNanos < 0) {
      failures = Math.max(1, failures);
      return;
    }
    long pauseMillis = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 4));
    failures++;
    paused = true;
    pausedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
  }

  /** An answer was lost; only a question that takes no slot tells whether the server is. */
  void doubted(long nowNanos) {
    if (failures == 0) {
      firstFailureNanos = nowNanos;
      failures = 1;
    }
  }

  /** Returns for how long no answer came although some were waited for; 0 if the last one came. */
  long silentNanos(long nowNanos) {
    return failures == 0 ? 0 : nowNanos - (answered ? lastAnswerNanos : firstFailureNanos);
  }

  boolean paused(long nowNanos) {
    return paused && nowNanos - pausedUntilNanos < 0;
  }

  boolean failing() {
    return failures > 0;
  }

  /** Returns whether it has answered at all. */
  boolean answeredEver() {
    return answered;
  }

  int inFlight() {
    return inFlight;
  }

  /** Returns how long a statement is expected to take here. */
  double expectedMillis() {
    return latencyMillis * (1 + inFlight);
  }

  double latencyMillis() {
    return latencyMillis;
  }

  boolean answeredWithin(long nowNanos, long nanos) {
    return answered && nowNanos - lastAnswerNanos <= nanos;
  }
}
